"""Tests of batch work."""

from __future__ import annotations
