"""Interfaces to the outside, declared apart from their adapters."""

from __future__ import annotations
