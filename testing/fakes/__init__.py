"""Small in-memory stand-ins at the ports."""

from __future__ import annotations
