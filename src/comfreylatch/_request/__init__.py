"""What lives as long as one request or one job attempt."""

from __future__ import annotations
