"""Tests of request handling."""

from __future__ import annotations
