"""Tests of planning."""

from __future__ import annotations
