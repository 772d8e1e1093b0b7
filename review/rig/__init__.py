"""Stand-ins and helpers that the cases of the review share.

They use the standard library only.
"""

from __future__ import annotations
