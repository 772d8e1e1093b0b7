"""Records on the platform's log: an envelope around a typed body.

On the log a record is one line of JSON, so that operators can read a stream
by eye. The envelope names the writer and its sequence number; a fold drops a
record whose sequence it has already seen from that writer, which makes an
append whose answer was lost safe to send again.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgspec
import result


@attrs.frozen
class Envelope:
    """What surrounds the body of every record.

    Attributes:
        writer: Host id of the writer, new at each start of a process.
        sequence: Rises by one with each record of a writer on one stream.
        kind: Name of the body's class, as registered.
        body: The body, still encoded.
    """

    writer: str
    sequence: int
    kind: str
    body: msgspec.Raw


@attrs.frozen
class BadRecord:
    """A payload that is no record; folds count it and go on."""

    detail: str


_class_by_kind: dict[str, type] = {}
_kind_by_class: dict[type, str] = {}
_encoder = msgspec.json.Encoder()


def register(kind: str, body_class: type) -> None:
    """Declares the class of the bodies of one kind of record."""
    _class_by_kind[kind] = body_class
    _kind_by_class[body_class] = kind


def encode(writer: str, sequence: int, body: Any) -> bytes:
    """Encodes a body of a registered class as one payload."""
    envelope = Envelope(
        writer=writer,
        sequence=sequence,
        kind=_kind_by_class[type(body)],
        body=msgspec.Raw(_encoder.encode(body)),
    )
    return _encoder.encode(envelope)


def decode(payload: bytes) -> result.Result[tuple[Envelope, Any], BadRecord]:
    """Decodes a payload; Err when it is malformed or of an unknown kind."""
    try:
        envelope = msgspec.json.decode(payload, type=Envelope)
        body_class = _class_by_kind[envelope.kind]
        body = msgspec.json.decode(envelope.body, type=body_class)
    except KeyError as error:
        return result.Err(BadRecord(f"unknown kind {error}"))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(BadRecord(str(error)))
    return result.Ok((envelope, body))
