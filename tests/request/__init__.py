"""Tests of request."""

from __future__ import annotations
