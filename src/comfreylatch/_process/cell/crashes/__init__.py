"""Which tasks crash their workers, and how they are tried again."""

from __future__ import annotations
