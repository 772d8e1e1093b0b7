"""Tests of ports."""

from __future__ import annotations
