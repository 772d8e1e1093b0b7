"""Tests of the components of an entry host."""

from __future__ import annotations
