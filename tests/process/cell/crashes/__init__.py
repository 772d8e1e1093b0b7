"""Tests of crashes."""

from __future__ import annotations
