"""Tests of forwarded requests."""

from __future__ import annotations
