"""Scheduler for colocated latency-critical and batch work.

The public face of the package: its version. Everything else lives in private
subpackages and may change without notice; operators use the command line.
"""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
