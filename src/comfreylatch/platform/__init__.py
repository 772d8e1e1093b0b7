"""Adapter that runs the program on the users' platform.

It only translates: the platform's names are used in no other package, and
decisions, state and recovery are in `comfreylatch._process.cell`.
"""

from __future__ import annotations
