"""Interface to operators' requests to evacuate availability zones."""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen
class EvacuationFeed:
    """A host's reading of the zones that operators have evacuated.

    Attributes:
        zones: Returns the evacuated zones as last read. Thread-safe.
        age_ms: Returns the time since the reading was known to be current.
            Thread-safe.
        in_force_ms: Time within which a confirmed request has to be in force;
            0 if the platform states none.
    """

    zones: Callable[[], frozenset[str]] = frozenset
    age_ms: Callable[[], int] = lambda: 0
    in_force_ms: int = 0
