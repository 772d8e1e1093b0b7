"""Batch jobs: zone ownership, scheduling and the zone's workers."""

from __future__ import annotations
