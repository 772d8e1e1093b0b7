"""Estimates the cost of each role at the design size.

Costs are measured on this machine at three or more sizes, with small fakes
at the interfaces; `model` extrapolates them from the slopes.
"""

from __future__ import annotations
