"""Tests of what an owner may conclude beside another one."""

from __future__ import annotations
