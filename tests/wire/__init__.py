"""Tests of wire."""

from __future__ import annotations
