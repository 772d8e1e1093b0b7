"""Tests of evacuations."""

from __future__ import annotations
