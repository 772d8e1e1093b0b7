"""Where and in which order tasks get workers."""

from __future__ import annotations
