"""Routing state that is shared by all requests of a process."""

from __future__ import annotations
