"""Tests, in folders that mirror the package."""

from __future__ import annotations
