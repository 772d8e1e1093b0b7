"""State and services with the lifetime of the process."""

from __future__ import annotations
