"""State of one configuration version, and the folds that build it."""

from __future__ import annotations
