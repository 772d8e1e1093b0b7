"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import base64
import dataclasses
import json
import struct
import threading
import time
from typing import Any

from rig import web

APPEND_S = 0.004
PAGE_ITEMS = 500
# Topics that the system may not write to.
PROTECTED = ("keyed.op", "keyed.servers")


@dataclasses.dataclass
class _Producer:
    epoch: int = -1
    next_sequence: int = 0
    answers: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class _Partition:
    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, int] = dataclasses.field(default_factory=dict)
    producers: dict[str, _Producer] = dataclasses.field(default_factory=dict)
    # Appends to a partition are carried out one at a time.
    turn: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def _encode(key: str, value: bytes) -> bytes:
    name = key.encode()
    return bytes((len(name),)) + name + value


def _split(content: bytes) -> tuple[str, bytes]:
    length = content[0]
    return content[1 : 1 + length].decode(), content[1 + length :]


class Store:
    """An in-memory log with keyed topics, served over HTTP."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._extra_s = 0.0
        self._server = web.Server(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        """Stops serving."""
        self._server.close()

    def slow_down(self, factor: float) -> None:
        """Makes every answer take so many times its usual time; 1 ends it."""
        self._extra_s = (factor - 1) * APPEND_S

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as the operator or an executor does.

        None deletes the key.
        """
        text = b"" if value is None else json.dumps(value).encode()
        with self._changed:
            self._add(
                self._partition(f"keyed.{topic}", 0), [_encode(key, text)]
            )

    def read_newest(self, topic: str, key: str, part: int = 0) -> Any:
        """Returns the newest value of a key; None if there is none."""
        with self._changed:
            partition = self._partition(f"keyed.{topic}", part)
            offset = partition.newest.get(key)
            if offset is None:
                return None
            return json.loads(_split(partition.records[offset])[1])

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def _add(self, partition: _Partition, contents: list[bytes]) -> int:
        first = len(partition.records)
        for content in contents:
            key, value = _split(content)
            if value:
                partition.newest[key] = len(partition.records)
            else:
                partition.newest.pop(key, None)
            partition.records.append(content)
        self._changed.notify_all()
        return first

    def _handle(self, request: web.Request) -> web.Reply:
        topic = request.query.get("Topic", "")
        part = int(request.query.get("part", "0"))
        match request.path:
            case "/v1/log-append":
                with self._changed:
                    turn = self._partition(topic, part).turn
                with turn:
                    time.sleep(APPEND_S + self._extra_s)
                    return self._append(request, topic, part)
            case "/v1/log-read":
                time.sleep(self._extra_s)
                return self._read(request, topic, part)
            case "/v1/log-newest":
                time.sleep(self._extra_s)
                return self._newest(request, topic, part)
        return web.Reply(404)

    def _append(self, request: web.Request, topic: str, part: int) -> web.Reply:
        if topic in PROTECTED:
            return web.Reply(403)
        contents = []
        body = request.body
        while body:
            (length,) = struct.unpack_from(">I", body)
            contents.append(body[4 : 4 + length])
            body = body[4 + length :]
        query = request.query
        with self._changed:
            partition = self._partition(topic, part)
            end = len(partition.records)
            if "At" in query and int(query["At"]) != end:
                return web.json_reply(412, {"EndOffset": end})
            if "Producer" not in query:
                first = self._add(partition, contents)
                return web.json_reply(
                    200,
                    {"Offset": first, "EndOffset": first + len(contents)},
                )
            return self._append_in_turn(partition, query, contents)

    def _append_in_turn(
        self,
        partition: _Partition,
        query: dict[str, str],
        contents: list[bytes],
    ) -> web.Reply:
        producer = partition.producers.setdefault(
            query["Producer"], _Producer()
        )
        epoch, sequence = int(query["epoch"]), int(query["Sequence"])
        if epoch < producer.epoch:
            return web.json_reply(409, {"Reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.next_sequence = sequence
            producer.answers = {}
        if not contents:
            end = len(partition.records)
            return web.json_reply(200, {"Offset": end, "EndOffset": end})
        if sequence in producer.answers:
            return web.json_reply(200, producer.answers[sequence])
        if sequence != producer.next_sequence:
            return web.json_reply(
                409, {"Reason": "seq", "Sequence": producer.next_sequence}
            )
        first = self._add(partition, contents)
        answer = {"Offset": first, "EndOffset": first + len(contents)}
        producer.answers[sequence] = answer
        producer.answers.pop(sequence - 5, None)
        producer.next_sequence = sequence + 1
        return web.json_reply(200, answer)

    def _read(self, request: web.Request, topic: str, part: int) -> web.Reply:
        start = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1_000
        limit = int(request.query.get("MaxKilobytes", "1024")) * 1_024
        with self._changed:
            partition = self._partition(topic, part)
            self._changed.wait_for(
                lambda: len(partition.records) > start, wait_s
            )
            body = bytearray(struct.pack(">QQ", len(partition.records), 0))
            for content in partition.records[start:]:
                if len(body) > limit:
                    break
                body += struct.pack(">I", len(content)) + content
        return web.Reply(200, bytes(body))

    def _newest(self, request: web.Request, topic: str, part: int) -> web.Reply:
        after = request.query.get("DependsOn", "")
        with self._changed:
            partition = self._partition(topic, part)
            keys = sorted(key for key in partition.newest if key > after)
            items = []
            for key in keys[:PAGE_ITEMS]:
                offset = partition.newest[key]
                value = _split(partition.records[offset])[1]
                items.append(
                    {
                        "Key": key,
                        "Value": base64.b64encode(value).decode(),
                        "Offset": offset,
                    }
                )
            return web.json_reply(
                200,
                {
                    "items": items,
                    "HasMore": len(keys) > PAGE_ITEMS,
                    "EndOffset": len(partition.records),
                },
            )
