"""Network clients and servers: HTTP, Thrift and their connection pools."""

from __future__ import annotations
