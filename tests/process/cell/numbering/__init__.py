"""Tests of run numbers."""

from __future__ import annotations
