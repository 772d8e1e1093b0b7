"""How long tasks wait for a worker near their data or their group."""

from __future__ import annotations
