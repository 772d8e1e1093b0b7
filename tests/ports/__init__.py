"""Tests of the ports package."""

from __future__ import annotations
