"""HTTP client of the platform's host list."""

from __future__ import annotations

import http
import types
from typing import Any
from typing import final

import attrs
import logbook
import msgspec
import result

from comfreylatch._connection import json_call
from comfreylatch._ports import hosts as hosts_port
from comfreylatch._process import logs

_logger = logbook.Logger(__name__)


@attrs.frozen
class _ListAnswer:
    hosts: list[Any]


@final
class HostListClient:
    """Implements `HostListPort`; calls time out after `timeout_ms`.

    Thread-safe.
    """

    def __init__(self, address: str, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._pool = json_call.open_pool(address)

    def __enter__(self) -> HostListClient:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._pool.close()

    def fetch(
        self,
    ) -> result.Result[hosts_port.HostList, hosts_port.HostListUnavailable]:
        """See `HostListPort.fetch`; skips and logs malformed entries."""
        answer = json_call.call(
            self._pool, "GET", "/hosts", None, self._timeout_ms
        )
        match answer:
            case result.Ok(json_call.Answer(http.HTTPStatus.OK, body)):
                return _decode(body)
            case result.Ok(json_call.Answer(status, _)):
                return result.Err(
                    hosts_port.HostListUnavailable(f"status {status}")
                )
            case result.Err(error):
                return result.Err(hosts_port.HostListUnavailable(error.detail))


def _decode(
    body: bytes,
) -> result.Result[hosts_port.HostList, hosts_port.HostListUnavailable]:
    try:
        entries = msgspec.json.decode(body, type=_ListAnswer).hosts
    except msgspec.MsgspecError as error:
        return result.Err(
            hosts_port.HostListUnavailable(f"malformed answer: {error}")
        )
    hosts: list[hosts_port.ListedHost] = []
    for entry in entries:
        try:
            hosts.append(msgspec.convert(entry, type=hosts_port.ListedHost))
        except msgspec.ValidationError as error:
            logs.warning(_logger, "bad-host-list-line", error=error)
    return result.Ok(hosts_port.HostList(tuple(hosts)))
