"""How late a worker may carry out a call."""

from __future__ import annotations

# The platform may carry out a call without an answer seconds later; the longest
# delay that its users describe is 12 s.
MAX_CALL_DELAY_MS = 12_000
