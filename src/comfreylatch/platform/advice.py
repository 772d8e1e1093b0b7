"""HTTP client of the platform's advice service."""

from __future__ import annotations

from collections.abc import Sequence
import types
from typing import final
from typing import Self

import result

from comfreylatch._connection import json_call
from comfreylatch._ports import advice as advice_port
from comfreylatch.platform import wire

# The service accepts one call per host at a time.
POOL_SIZE = 1


@final
class AdviceClient:
    """Implements `AdviceService`. A context manager."""

    def __init__(self, address: str) -> None:
        self._pool = json_call.open_pool(address, POOL_SIZE)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._pool.close()

    def advise(
        self, step: str, worker_ids: Sequence[str], timeout_ms: int
    ) -> result.Result[advice_port.Advice, advice_port.AdviceUnavailable]:
        """See `AdviceService.advise`."""
        body = wire.encode({"Step": step, "Workers": list(worker_ids)})
        match json_call.call(
            self._pool, "POST", "/v1/advise", body, timeout_ms
        ):
            case result.Ok(answer) if answer.status == 200:
                return _decode(answer.body)
            case result.Ok(answer):
                detail = f"status {answer.status}"
            case result.Err(error):
                detail = error.detail
        return result.Err(advice_port.AdviceUnavailable(detail))


def _decode(
    body: bytes,
) -> result.Result[advice_port.Advice, advice_port.AdviceUnavailable]:
    try:
        reply = wire.decode(wire.AdviceReply, body)
    except wire.BadMessageError as error:
        return result.Err(advice_port.AdviceUnavailable(str(error)))
    tickets = dict(reply.allowed)
    return result.Ok(advice_port.Advice(tickets, int(reply.valid_ms)))
