"""How many workers one owner drives, and which."""

from __future__ import annotations
