"""Numbers of runs, which no two owners may use for the same task."""

from __future__ import annotations
