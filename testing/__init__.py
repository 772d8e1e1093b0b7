"""Stand-ins for the platform and tools that drive real processes."""

from __future__ import annotations
