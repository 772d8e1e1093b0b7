"""State and services that live as long as the process."""

from __future__ import annotations
