"""Explains where a job would go, from the state of a cell."""

from __future__ import annotations
