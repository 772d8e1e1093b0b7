"""Schedules jobs of dependent steps on cells of workers, one owner per cell."""

from __future__ import annotations
