"""Jobs of dependent steps on cells of workers, each run by one owner host."""

from __future__ import annotations
