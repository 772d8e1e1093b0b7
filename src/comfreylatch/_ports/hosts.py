"""The platform's list of live and leaving hosts. It lags behind the truth."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class HostKind(enum.StrEnum):
    """What a listed host is for."""

    ENTRY = "entry"
    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(enum.StrEnum):
    """Whether a listed host stays or is about to go."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedHost:
    """One line of the list.

    Attributes:
        name: Unique within its kind; for an endpoint the endpoint's name.
        kind: What the host is for.
        state: Live or leaving; a dead host is no longer listed.
        zone: Availability zone.
        rack: Rack within the zone.
        address: `IP:port` of its service.
        worker_class: Name of the worker class; empty for other kinds.
    """

    name: str
    kind: HostKind
    state: HostState
    zone: str
    rack: str
    address: str
    worker_class: str = ""


@attrs.frozen
class HostList:
    """The whole list as the platform last published it."""

    hosts: tuple[ListedHost, ...]


@attrs.frozen
class HostListUnavailable:
    """The list can't be had now; the last known one stays in use."""

    detail: str


class HostListPort(Protocol):
    """Access to the platform's list of hosts."""

    def fetch(self) -> result.Result[HostList, HostListUnavailable]:
        """Returns the current list."""
        ...
