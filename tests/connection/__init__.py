"""Tests of connection."""

from __future__ import annotations
