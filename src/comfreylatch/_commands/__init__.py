"""Client commands and the entry point of the command line."""

from __future__ import annotations
