"""What calls to a worker's former incarnation leave on its next one.

Calls name a worker by its id, which its next incarnation may have as well.
"""

from __future__ import annotations
