"""Stand-in processes for the platform, the endpoints and the workers."""

from __future__ import annotations
