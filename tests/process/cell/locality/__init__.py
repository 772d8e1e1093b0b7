"""Tests of waiting for near workers."""

from __future__ import annotations
