"""Computes what each role costs at the design size.

Slopes are measured on this machine at three or more sizes, with small fakes
at the interfaces; `model` extrapolates them.
"""

from __future__ import annotations
