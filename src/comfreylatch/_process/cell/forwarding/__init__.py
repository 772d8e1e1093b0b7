"""Passes callers' requests on to a host that reaches the store."""

from __future__ import annotations
