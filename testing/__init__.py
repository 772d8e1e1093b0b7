"""Test support: platform stand-ins, fakes and fleets of real processes."""

from __future__ import annotations
