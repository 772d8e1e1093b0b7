"""Tests of version."""

from __future__ import annotations
