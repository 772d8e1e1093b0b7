"""Tests of which listed entries are workers."""

from __future__ import annotations
