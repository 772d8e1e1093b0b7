"""Small stand-ins for the platform, the endpoints and the workers."""

from __future__ import annotations
