"""The thrift protocol between entry hosts."""

from __future__ import annotations
