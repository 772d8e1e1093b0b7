"""Runs the program on the users' platform: translation only.

Nothing outside this package knows the platform's names. Decisions, state and
recovery are in `comfreylatch._process.cell`.
"""

from __future__ import annotations
