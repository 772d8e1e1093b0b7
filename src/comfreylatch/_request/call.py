"""Parsing and validation of callers' and forwarded requests."""

from __future__ import annotations

import os

import attrs
import result

from comfreylatch._connection import endpoint_headers
from comfreylatch._connection import exchange
from comfreylatch._connection import http
from comfreylatch._process import reasons
from comfreylatch._process.routing import service_state
from comfreylatch._request import outcomes
from comfreylatch._wire.gen.peer import ttypes

PATH_PREFIX = "/services/"
MAX_ID_LENGTH = 128
RANDOM_ID_BYTES = 12
GENERATED_ID_PREFIX = "cl-"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})

_CONSUMED_HEADERS = frozenset({"x-request-id", "x-timeout-ms"})


@attrs.frozen
class Call:
    """A validated request to a service.

    Attributes:
        state: Routing state of the service.
        caller: Name of the caller, for fair queueing.
        request: The request to send to an endpoint.
        deadline_ms: Monotonic time by which the caller expects the answer.
        is_generated_id: Whether this host generated the id, so that no
            earlier request can have used it.
    """

    state: service_state.ServiceState
    caller: str
    request: exchange.EndpointRequest
    deadline_ms: int
    is_generated_id: bool = False

    @property
    def needs_claim(self) -> bool:
        """Whether the id must be claimed before the request is sent."""
        return not self.idempotent and not self.is_generated_id

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.request.idempotent


def generate_id() -> str:
    """Generates a random request id, unique across hosts."""
    return GENERATED_ID_PREFIX + os.urandom(RANDOM_ID_BYTES).hex()


def has_generated_format(text: str) -> bool:
    """Whether an id has the format of the ids that hosts generate."""
    return (
        text.startswith(GENERATED_ID_PREFIX)
        and len(text) == len(GENERATED_ID_PREFIX) + 2 * RANDOM_ID_BYTES
    )


def is_valid_id(text: str) -> bool:
    """Whether a caller's request id has a valid length and characters."""
    return (
        0 < len(text) <= MAX_ID_LENGTH
        and text.isascii()
        and text.isprintable()
        and " " not in text
    )


def parse(
    request: http.HttpRequest,
    request_id: str,
    is_generated_id: bool,
    table: service_state.ServiceTable,
    now_ms: int,
) -> result.Result[Call, outcomes.NotRun | outcomes.Unknown]:
    """Validates a request to `/services/...`.

    Args:
        request: The request as received.
        request_id: Its id, given by the caller or generated.
        is_generated_id: Whether this host generated the id.
        table: Routing state of the services.
        now_ms: Monotonic time, from which the timeout counts if the time of
            receipt is not known.

    Returns:
        The request, or the outcome that refuses it.
    """
    if not is_valid_id(request_id):
        return _bad_request(
            "X-Request-Id must have 1 to 128 printable characters, no spaces"
        )
    name, target = split_target(request.target)
    state = table.get(name)
    if state is None:
        return result.Err(_service_not_found(name, table))
    if len(request.body) > state.service.max_body_bytes:
        sentence = (
            f"the body has {len(request.body)} bytes; {name} accepts up to "
            f"{state.service.max_body_bytes}"
        )
        reason = reasons.RefusalReason.BODY_TOO_LONG
        return result.Err(outcomes.NotRun(reason, sentence))
    match _parse_timeout_ms(request, state, table):
        case result.Ok(timeout_ms):
            pass
        case result.Err(refusal):
            return result.Err(refusal)
    match _parse_idempotent(request):
        case result.Ok(idempotent):
            pass
        case result.Err(refusal):
            return result.Err(refusal)
    if (
        not idempotent
        and not is_generated_id
        and has_generated_format(request_id)
    ):
        return result.Err(_reused_generated_id())
    received_ms = request.received_ms if request.received_ms >= 0 else now_ms
    return result.Ok(
        Call(
            state=state,
            caller=request.headers.get("x-caller") or request.client,
            request=exchange.EndpointRequest(
                method=request.method,
                target=target,
                headers=_headers_for_endpoint(request),
                body=request.body,
                request_id=request_id,
                idempotent=idempotent,
            ),
            deadline_ms=received_ms + timeout_ms,
            is_generated_id=is_generated_id,
        )
    )


def from_forward_request(
    forwarded: ttypes.ForwardRequest,
    table: service_state.ServiceTable,
    now_ms: int,
) -> result.Result[Call, outcomes.NotRun]:
    """Validates a request forwarded by another zone's host.

    Args:
        forwarded: The request as received.
        table: Routing state of the services.
        now_ms: Monotonic time, from which the remaining time counts.

    Returns:
        The request, or a refusal if its service is not configured here.
    """
    state = table.get(forwarded.service_name)
    if state is None:
        return result.Err(_service_not_found(forwarded.service_name, table))
    remaining_ms = min(forwarded.remaining_ms, table.max_timeout_ms)
    return result.Ok(
        Call(
            state=state,
            caller=forwarded.caller,
            request=exchange.EndpointRequest(
                method=forwarded.method,
                target=forwarded.path,
                headers=forwarded.headers,
                body=forwarded.body,
                request_id=forwarded.request_id,
                idempotent=forwarded.idempotent,
            ),
            deadline_ms=now_ms + remaining_ms,
        )
    )


def to_forward_request(call: Call, remaining_ms: int) -> ttypes.ForwardRequest:
    """Converts a request for forwarding to another zone's host.

    `remaining_ms` is the time left until the other host must have replied.
    """
    request = call.request
    return ttypes.ForwardRequest(
        request_id=request.request_id,
        caller=call.caller,
        service_name=call.state.name,
        path=request.target,
        method=request.method,
        headers=endpoint_headers.filter_request_headers(request.headers),
        body=request.body,
        remaining_ms=remaining_ms,
        idempotent=request.idempotent,
    )


def split_target(target: str) -> tuple[str, str]:
    """Splits `/services/NAME/REST` into service name and endpoint target.

    The name is empty if the target doesn't begin with `/services/`.
    """
    if not target.startswith(PATH_PREFIX):
        return "", "/"
    path, separator, query = target[len(PATH_PREFIX) :].partition("?")
    name, _, rest = path.partition("/")
    return name, f"/{rest}{separator}{query}"


def _headers_for_endpoint(request: http.HttpRequest) -> dict[str, str]:
    return {
        key: value
        for key, value in request.headers.items()
        if key not in _CONSUMED_HEADERS
    }


def _bad_request(sentence: str) -> result.Err[outcomes.NotRun]:
    reason = reasons.RefusalReason.BAD_REQUEST
    return result.Err(outcomes.NotRun(reason, sentence))


def _reused_generated_id() -> outcomes.Unknown:
    """Refuses a generated id, as the request it was made for has used it."""
    return outcomes.Unknown(
        reasons.RefusalReason.DUPLICATE_REQUEST,
        "this id was generated by an entry host for an earlier request; to "
        "be able to repeat a request, send it with an id of your own",
    )


def _service_not_found(
    name: str, table: service_state.ServiceTable
) -> outcomes.NotRun:
    if not table.has_configuration:
        return outcomes.NotRun(
            reasons.RefusalReason.NO_CONFIGURATION,
            "this host has no configuration yet",
            retry_after_ms=1_000,
        )
    return outcomes.NotRun(
        reasons.RefusalReason.UNKNOWN_SERVICE,
        f"service {name!r} does not exist; paths are /services/NAME/REST",
    )


def _parse_timeout_ms(
    request: http.HttpRequest,
    state: service_state.ServiceState,
    table: service_state.ServiceTable,
) -> result.Result[int, outcomes.NotRun]:
    text = request.headers.get("x-timeout-ms")
    if text is None:
        return result.Ok(state.service.timeout_ms)
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        return _bad_request(
            "X-Timeout-Ms must be a whole number of milliseconds"
        )
    # A longer timeout is cut, because the slot of a request is reassigned once
    # the longest allowed request would have ended.
    return result.Ok(min(int(text), table.max_timeout_ms))


def _parse_idempotent(
    request: http.HttpRequest,
) -> result.Result[bool, outcomes.NotRun]:
    text = request.headers.get("x-idempotent")
    if text is None:
        return result.Ok(request.method in IDEMPOTENT_METHODS)
    match text.lower():
        case "true":
            return result.Ok(True)
        case "false":
            return result.Ok(False)
        case _:
            return _bad_request("X-Idempotent must be true or false")
