"""HTTP client of the platform's record store."""

from __future__ import annotations

from collections.abc import Sequence
import struct
import types
from typing import final
from typing import Self
import urllib.parse

import result

from comfreylatch._connection import json_call
from comfreylatch._ports import store as store_port
from comfreylatch.platform import wire

# Two partition readers, two appenders, the owner's reads, and one spare.
POOL_SIZE = 6
# The store replies in 4 ms; at its slowest, 60 times slower, in 240 ms.
CALL_TIMEOUT_MS = 900
# A page of the newest records has up to 1 MB. It takes a second on a link of
# 10 Mbit/s, and several while all hosts read after a restart.
PAGE_TIMEOUT_MS = 8_000
KEYED_PREFIX = "keyed."
_LENGTH_PREFIX = struct.Struct(">I")
_OFFSETS_HEADER = struct.Struct(">QQ")
_BINARY_HEADERS = {"Content-Type": "application/octet-stream"}
# Statuses with which the store rejects a call without any effect.
_REJECTED_STATUSES = frozenset({400, 403, 404, 413, 429, 503, 507})


@final
class StoreClient:
    """Implements `RecordStore` on keyed topics. Thread-safe."""

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

    def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[store_port.NewRecord],
        *,
        at_offset: int | None = None,
        producer: store_port.Producer | None = None,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> result.Result[int, store_port.AppendError]:
        """See `RecordStore.append`."""
        query: dict[str, object] = {
            "Topic": KEYED_PREFIX + topic,
            "part": partition,
        }
        if at_offset is not None:
            query["At"] = at_offset
        if producer is not None:
            query["Producer"] = producer.name
            query["epoch"] = producer.epoch
            query["Sequence"] = producer.sequence
        body = b"".join(_encode_record(record) for record in records)
        match json_call.call(
            self._pool,
            "POST",
            "/v1/log-append?" + urllib.parse.urlencode(query),
            body,
            timeout_ms,
            _BINARY_HEADERS,
        ):
            case result.Ok(answer):
                return _decode_append(answer)
            case result.Err(json_call.NotSent(detail)):
                return result.Err(store_port.StoreUnavailable(detail))
            case result.Err(json_call.AnswerLost(detail)):
                return result.Err(store_port.StoreAnswerLost(detail))

    def read(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> result.Result[store_port.StoreBatch, store_port.ReadError]:
        """See `RecordStore.read`."""
        query = {
            "Topic": KEYED_PREFIX + topic,
            "part": partition,
            "From": from_offset,
            "WaitMs": wait_ms,
        }
        match self._get(
            "/v1/log-read",
            query,
            wait_ms + PAGE_TIMEOUT_MS,
            wait_ms + CALL_TIMEOUT_MS,
        ):
            case result.Ok(answer) if answer.status == 200:
                return _decode_batch(answer.body, from_offset)
            case result.Ok(answer) if answer.status == 410:
                return _decode_expired(answer.body)
            case result.Ok(answer):
                return result.Err(_unavailable(answer))
            case result.Err(error):
                return result.Err(store_port.StoreUnavailable(error.detail))

    def newest(
        self, topic: str, partition: int
    ) -> result.Result[store_port.StoreBatch, store_port.StoreUnavailable]:
        """See `RecordStore.newest`."""
        newest_by_key: dict[str, store_port.StoredRecord] = {}
        end_offset = -1
        query: dict[str, object] = {
            "Topic": KEYED_PREFIX + topic,
            "part": partition,
        }
        while True:
            match self._get("/v1/log-newest", query, PAGE_TIMEOUT_MS):
                case result.Ok(answer) if answer.status == 200:
                    pass
                case result.Ok(answer):
                    return result.Err(_unavailable(answer))
                case result.Err(error):
                    return result.Err(store_port.StoreUnavailable(error.detail))
            try:
                page = wire.decode(wire.NewestReply, answer.body)
            except wire.BadMessageError as error:
                return result.Err(store_port.StoreUnavailable(str(error)))
            if end_offset < 0:
                # The pages are not a consistent snapshot. Changes after the
                # first page are read again from its end offset.
                end_offset = page.end_offset
            for item in page.items:
                newest_by_key[item.key] = store_port.StoredRecord(
                    item.offset, item.key, item.value
                )
            if not page.has_more or not page.items:
                break
            # The store gives this parameter the name of a step's dependencies;
            # here it is the last key of the previous page.
            query["DependsOn"] = page.items[-1].key
        ordered = sorted(
            newest_by_key.values(), key=lambda record: record.offset
        )
        return result.Ok(
            store_port.StoreBatch(tuple(ordered), end_offset, end_offset)
        )

    def _get(
        self,
        path: str,
        query: dict[str, object],
        timeout_ms: int,
        read_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> result.Result[json_call.Answer, json_call.CallError]:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return json_call.call(
            self._pool,
            "GET",
            target,
            None,
            timeout_ms,
            read_timeout_ms=read_timeout_ms,
        )


def _encode_record(record: store_port.NewRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH_PREFIX.pack(len(content)) + content


def _unavailable(answer: json_call.Answer) -> store_port.StoreUnavailable:
    detail = f"status {answer.status}: {answer.body[:200]!r}"
    return store_port.StoreUnavailable(detail)


def _decode_append(
    answer: json_call.Answer,
) -> result.Result[int, store_port.AppendError]:
    if answer.status in _REJECTED_STATUSES:
        return result.Err(_unavailable(answer))
    try:
        reply = wire.decode(wire.AppendReply, answer.body)
    except wire.BadMessageError as error:
        return result.Err(store_port.StoreAnswerLost(str(error)))
    if answer.status == 200:
        return result.Ok(reply.offset)
    if answer.status == 412:
        return result.Err(store_port.EndOffsetMismatch(reply.end_offset))
    if answer.status == 409 and reply.reason == "seq":
        return result.Err(store_port.SequenceMismatch(reply.sequence))
    if answer.status == 409:
        return result.Err(store_port.ProducerFenced(reply.reason))
    return result.Err(store_port.StoreAnswerLost(f"status {answer.status}"))


def _decode_expired(
    body: bytes,
) -> result.Result[store_port.StoreBatch, store_port.ReadError]:
    try:
        reply = wire.decode(wire.AppendReply, body)
    except wire.BadMessageError as error:
        return result.Err(store_port.StoreUnavailable(str(error)))
    return result.Err(store_port.RecordsExpired(reply.first_offset))


def _decode_batch(
    body: bytes, from_offset: int
) -> result.Result[store_port.StoreBatch, store_port.ReadError]:
    if len(body) < _OFFSETS_HEADER.size:
        detail = f"the reply to a read has only {len(body)} bytes"
        return result.Err(store_port.StoreUnavailable(detail))
    end_offset, _ = _OFFSETS_HEADER.unpack_from(body)
    records = []
    offset = from_offset
    position = _OFFSETS_HEADER.size
    while position + _LENGTH_PREFIX.size <= len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        content = body[position : position + length]
        position += length
        records.append(_decode_record(offset, content))
        offset += 1
    return result.Ok(store_port.StoreBatch(tuple(records), offset, end_offset))


def _decode_record(offset: int, content: bytes) -> store_port.StoredRecord:
    key_length = content[0] if content else 0
    key = content[1 : 1 + key_length].decode("utf-8", "replace")
    value = content[1 + key_length :]
    return store_port.StoredRecord(offset, key, value or None)
