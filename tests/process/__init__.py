"""Tests of process."""

from __future__ import annotations
