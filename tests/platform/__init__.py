"""Tests of the adapter for the users' platform."""

from __future__ import annotations
