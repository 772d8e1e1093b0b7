"""Tests of explained placements."""

from __future__ import annotations
