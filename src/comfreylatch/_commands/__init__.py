"""The command line: client commands and `serve`."""

from __future__ import annotations
