"""Interface to the platform's list of hosts, which may be out of date."""

from __future__ import annotations

import enum
from typing import Protocol

import attrs
import result


class HostKind(enum.StrEnum):
    """Role of a listed host."""

    ENTRY = "entry"
    WORKER = "worker"
    ENDPOINT = "endpoint"


class HostState(enum.StrEnum):
    """Whether a listed host is live or about to shut down."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedHost:
    """One entry of the list.

    Attributes:
        name: Name, unique within the kind; an endpoint host has the name of
            its endpoint.
        kind: Role of the host.
        state: Live or leaving; a dead host is no longer listed.
        zone: Availability zone.
        rack: Rack within the zone.
        address: `IP:port` of its service.
        worker_class: Name of the worker class; empty for other roles.
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
    """The complete list as last published by the platform."""

    hosts: tuple[ListedHost, ...]


@attrs.frozen
class HostListUnavailable:
    """The list can't be fetched now; the last known one stays in use."""

    detail: str


class HostListPort(Protocol):
    """Access to the platform's list of hosts."""

    def fetch(self) -> result.Result[HostList, HostListUnavailable]:
        """Returns the current list."""
        ...
