"""Configuration and zone state, and the folds that build them."""

from __future__ import annotations
