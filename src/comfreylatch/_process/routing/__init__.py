"""Decisions on requests that need the memory of the whole process."""

from __future__ import annotations
