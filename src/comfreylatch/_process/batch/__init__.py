"""Batch work: who runs a zone's workers, and what they run."""

from __future__ import annotations
