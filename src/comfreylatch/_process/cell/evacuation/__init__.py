"""Which workers get no new work, and which runs leave them."""

from __future__ import annotations
