"""Tests of cells."""

from __future__ import annotations
