"""Tests that run several processes, up to a whole fleet."""

from __future__ import annotations
