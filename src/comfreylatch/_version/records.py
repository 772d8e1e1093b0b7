"""Records on the platform's log: an envelope around a typed body.

A record is one line of JSON on the log, so that operators can read a stream
directly. The envelope holds the writer and its sequence number. A fold drops
a record whose sequence number it has already seen from that writer, so an
append can be retried safely if its answer was lost.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import result


@attrs.frozen
class Envelope:
    """Metadata around the body of every record.

    Attributes:
        writer: Host id of the writer; each process start creates a new one.
        sequence: Increases by 1 with each record of a writer on a stream.
        kind: Name under which the body's class is registered.
        body: The encoded body.
    """

    writer: str
    sequence: int
    kind: str
    body: msgspec.Raw


@attrs.frozen
class BadRecord:
    """A payload that is not a valid record; folds count and skip it."""

    detail: str


_class_by_kind: dict[str, type] = {}
_kind_by_class: dict[type, str] = {}
_encoder = msgspec.json.Encoder()


def register(kind: str, body_class: type) -> None:
    """Registers the body class of a kind of record."""
    _class_by_kind[kind] = body_class
    _kind_by_class[body_class] = kind


def encode(writer: str, sequence: int, body: Any) -> bytes:
    """Encodes a body of a registered class as a payload."""
    envelope = Envelope(
        writer=writer,
        sequence=sequence,
        kind=_kind_by_class[type(body)],
        body=msgspec.Raw(_encoder.encode(body)),
    )
    return _encoder.encode(envelope)


def decode(payload: bytes) -> result.Result[tuple[Envelope, Any], BadRecord]:
    """Decodes a payload; Err if it is malformed or of an unknown kind."""
    try:
        envelope = msgspec.json.decode(payload, type=Envelope)
        body_class = _class_by_kind[envelope.kind]
        body = msgspec.json.decode(envelope.body, type=body_class)
    except KeyError as error:
        return result.Err(BadRecord(f"unknown kind {error}"))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(BadRecord(str(error)))
    return result.Ok((envelope, body))
