"""Tests of system."""

from __future__ import annotations
