"""Limits how deeply JSON from others may be nested.

The decoder recurses into each level. From Python 3.12 on it allows so many that
the small stacks of a host's threads overflow, which kills the process.
"""

from __future__ import annotations

import itertools
import re

# No message of the platform has more than eight levels.
MAX_DEPTH = 64
# A string; one without an end reaches to the end of the text.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)
_LEVELS = dict(zip(b"[]{}", (1, -1, 1, -1), strict=True))
_OTHER_BYTES = bytes(set(range(256)).difference(_LEVELS))


def is_too_deep(text: bytes) -> bool:
    """Whether JSON text has more than `MAX_DEPTH` levels."""
    # Most messages have few brackets at all.
    if text.count(b"[") + text.count(b"{") <= MAX_DEPTH:
        return False
    brackets = _STRING.sub(b"", text).translate(None, _OTHER_BYTES)
    depths = itertools.accumulate(map(_LEVELS.__getitem__, brackets))
    return max(depths, default=0) > MAX_DEPTH
