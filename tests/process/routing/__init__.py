"""Tests of the package's module of the same name."""

from __future__ import annotations
