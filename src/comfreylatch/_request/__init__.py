"""Handling of single requests: admission, dispatch, retries, outcomes."""

from __future__ import annotations
