"""Adapters that live as long as a connection to one peer."""

from __future__ import annotations
