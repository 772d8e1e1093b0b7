"""Interfaces to external systems, separate from their adapters."""

from __future__ import annotations
