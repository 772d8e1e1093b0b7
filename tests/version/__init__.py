"""Tests of the version package."""

from __future__ import annotations
