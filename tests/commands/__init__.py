"""Tests of commands."""

from __future__ import annotations
