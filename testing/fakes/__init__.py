"""In-memory fakes of the ports."""

from __future__ import annotations
