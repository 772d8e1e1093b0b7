"""Which entries in the platform's list are workers of this cell."""

from __future__ import annotations
