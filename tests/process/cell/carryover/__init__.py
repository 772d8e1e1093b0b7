"""Tests of the size of a cell."""

from __future__ import annotations
