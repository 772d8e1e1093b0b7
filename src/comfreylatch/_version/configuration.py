"""The current configuration, as one immutable value per version."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from comfreylatch._version import objects


@attrs.frozen
class Versioned:
    """A configuration object with its version.

    Attributes:
        version: 1 for a new object; each ticket that sets it adds 1.
        ticket: Number of the ticket that set it.
        offset: Offset of that ticket's record.
        state: The object; None if a ticket has removed it.
    """

    version: int
    ticket: int
    offset: int
    state: objects.ConfigObject | None


@attrs.frozen
class Configuration:
    """All objects after one offset of the configuration stream.

    Attributes:
        offset: Offset of the last record folded; -1 for none.
        digest: Hash of the folded state.
    """

    offset: int = -1
    digest: str = ""
    services: Mapping[str, objects.Service] = attrs.field(factory=dict)
    endpoints: Mapping[str, objects.Endpoint] = attrs.field(factory=dict)
    teams: Mapping[str, objects.Team] = attrs.field(factory=dict)
    worker_classes: Mapping[str, objects.WorkerClass] = attrs.field(
        factory=dict
    )
    zones: Mapping[str, objects.Zone] = attrs.field(factory=dict)
    limits: objects.Limits = objects.Limits()
