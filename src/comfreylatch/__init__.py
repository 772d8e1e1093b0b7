"""Scheduler for colocated latency-critical and batch work.

The public API is `__version__`. The private subpackages may change without
notice; operators use the command line.
"""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
