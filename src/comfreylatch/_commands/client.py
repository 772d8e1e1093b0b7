"""HTTP client of the operator API of entry hosts."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import final
from typing import Self

import attrs
import msgspec
import result
import urllib3
from urllib3 import exceptions

from comfreylatch._connection import address as addresses

CONNECT_TIMEOUT_MS = 2_000
NOT_RUN_STATUS = 503
NOT_FOUND_STATUS = 404


@attrs.frozen
class Reply:
    """A reply from a host.

    Attributes:
        host: Address of the host.
        status: HTTP status.
        value: The decoded JSON body, or the body as text if it is not JSON.
        headers: Keys in lower case.
    """

    host: str
    status: int
    value: Any
    headers: Mapping[str, str]


@attrs.frozen
class NoHostReached:
    """No host could be reached; `details` has one entry per host."""

    details: tuple[str, ...]

    def __str__(self) -> str:
        return "; ".join(self.details)


@attrs.frozen
class AnswerLost:
    """The call was sent to a host, which may have executed it."""

    host: str
    detail: str

    def __str__(self) -> str:
        return f"{self.host}: no complete answer ({self.detail})"


CallError = NoHostReached | AnswerLost


@final
class Client:
    """Calls entry hosts in order until one gives a usable answer.

    A read is retried on the next host after any failure and after a 404. A
    change is retried only if no byte of it reached the host or the host
    answered that it was not run.

    Args:
        hosts: Operator addresses, in the order in which to try them.
        timeout_ms: Timeout of reading the answer of each host.
    """

    def __init__(
        self, hosts: Sequence[addresses.Address], timeout_ms: int
    ) -> None:
        self._hosts = tuple(hosts)
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_MS / 1_000, read=timeout_ms / 1_000
        )
        self._pool = urllib3.PoolManager(timeout=timeout, retries=False)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exception: object) -> None:
        self._pool.clear()

    def read(self, path: str) -> result.Result[Reply, CallError]:
        """Reads a page from the first host that has it."""
        return self._call_in_order("GET", path, b"")

    def change(
        self, method: str, path: str, body: bytes = b""
    ) -> result.Result[Reply, CallError]:
        """Sends a change; stops at the first host that may have executed it."""
        return self._call_in_order(method, path, body)

    def _call_in_order(
        self, method: str, path: str, body: bytes
    ) -> result.Result[Reply, CallError]:
        details = []
        last_skipped = None
        skipped_statuses = [NOT_RUN_STATUS]
        if method == "GET":
            skipped_statuses.append(NOT_FOUND_STATUS)
        for host in self._hosts:
            match self._call(host, method, path, body):
                case result.Ok(reply) if reply.status in skipped_statuses:
                    last_skipped = reply
                case result.Ok() as answered:
                    return answered
                case result.Err(AnswerLost() as lost) if method != "GET":
                    return result.Err(lost)
                case result.Err(error):
                    details.append(str(error))
        if last_skipped is not None:
            return result.Ok(last_skipped)
        return result.Err(NoHostReached(tuple(details)))

    def _call(
        self, host: addresses.Address, method: str, path: str, body: bytes
    ) -> result.Result[Reply, CallError]:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._pool.request(
                method,
                f"http://{host}{path}",
                body=body or None,
                headers=headers,
                redirect=False,
            )
        except (
            exceptions.NewConnectionError,
            exceptions.ConnectTimeoutError,
        ) as error:
            return result.Err(
                NoHostReached((f"{host}: {_strip_connection_repr(error)}",))
            )
        except (exceptions.HTTPError, OSError) as error:
            return result.Err(
                AnswerLost(str(host), _strip_connection_repr(error))
            )
        reply_headers = {
            key.lower(): value for key, value in response.headers.items()
        }
        value = _decode(response.data)
        reply = Reply(str(host), response.status, value, reply_headers)
        return result.Ok(reply)


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body.decode("utf-8", "replace")


def _strip_connection_repr(error: Exception) -> str:
    # Messages of urllib3 start with the repr of a connection object.
    return str(error).rpartition(">: ")[2]
