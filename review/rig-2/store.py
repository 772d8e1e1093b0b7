"""Stand-in of the platform's store: keyed topics of a log."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from typing import Any

import change
import http_stub

# As in the settings of the pages' example.
RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
APPEND_S = 0.004
ANSWERS_KEPT = 5
PAGE_ITEMS = 500

Record = tuple[str, bytes]


class Partition:
    """Records of a partition, and the producers that have written to it."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.epochs: dict[str, int] = {}
        self.next_sequences: dict[str, int] = {}
        self.answers: dict[str, dict[int, tuple[int, int]]] = {}
        self.changed = change.Change()
        self.turn = asyncio.Lock()

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found


def _decode(body: bytes) -> list[Record] | None:
    """Decodes records; None if one is longer than the store accepts."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        if length > RECORD_BYTES:
            return None
        content = body[position + 4 : position + 4 + length]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
        position += 4 + length
    return records


class Store:
    """Serves the calls of the store that hosts make.

    Attributes:
        refused_sizes: Lengths of the appends that were too long.
        is_down: While set, it refuses all calls of hosts with 503.
    """

    def __init__(self) -> None:
        self.server = http_stub.Server(self._handle)
        self.refused_sizes: list[int] = []
        self.is_down = False
        self._partitions: dict[tuple[str, int], Partition] = {}

    def partition(self, topic: str, part: int = 0) -> Partition:
        """Returns a partition, which is created on first use."""
        return self._partitions.setdefault((topic, part), Partition())

    def write(self, topic: str, key: str, value: Any) -> None:
        """Writes a record as an operator or an executor does."""
        stored = self.partition(topic)
        content = b"" if value is None else json.dumps(value).encode()
        stored.records.append((key, content))
        stored.changed.notify()

    async def _handle(self, request: http_stub.Request) -> http_stub.Reply:
        if self.is_down:
            return 503, b""
        topic = request.query.get("Topic", "")
        part = int(request.query.get("part", "0"))
        stored = self.partition(topic, part)
        match request.path:
            case "/v1/log-append":
                return await self._append(stored, request)
            case "/v1/log-read":
                return await self._read(stored, request)
            case "/v1/log-newest":
                return self._newest(stored, request)
        return 404, b""

    async def _append(
        self, stored: Partition, request: http_stub.Request
    ) -> http_stub.Reply:
        records = _decode(request.body)
        if records is None or len(request.body) > REQUEST_BYTES:
            self.refused_sizes.append(len(request.body))
            return http_stub.json_reply(413, {"Reason": "size"})
        async with stored.turn:
            await asyncio.sleep(APPEND_S)
            reply = self._append_now(stored, request.query, records)
            stored.changed.notify()
        return reply

    def _append_now(
        self,
        stored: Partition,
        query: dict[str, str],
        records: list[Record],
    ) -> http_stub.Reply:
        end = len(stored.records)
        if "At" in query and int(query["At"]) != end:
            return http_stub.json_reply(412, {"EndOffset": end})
        producer = query.get("Producer")
        if producer is not None:
            epoch, sequence = int(query["epoch"]), int(query["Sequence"])
            if epoch < stored.epochs.get(producer, -1):
                return http_stub.json_reply(409, {"Reason": "fenced"})
            if epoch > stored.epochs.get(producer, -1):
                stored.epochs[producer] = epoch
                stored.next_sequences.pop(producer, None)
                stored.answers[producer] = {}
            if records:
                answers = stored.answers[producer]
                if sequence in answers:
                    offset, after = answers[sequence]
                    return http_stub.json_reply(
                        200, {"Offset": offset, "EndOffset": after}
                    )
                expected = stored.next_sequences.get(producer, sequence)
                if sequence != expected:
                    return http_stub.json_reply(
                        409, {"Reason": "seq", "Sequence": expected}
                    )
                stored.next_sequences[producer] = sequence + 1
                answers[sequence] = (end, end + len(records))
                for old in sorted(answers)[:-ANSWERS_KEPT]:
                    del answers[old]
        stored.records.extend(records)
        return http_stub.json_reply(
            200, {"Offset": end, "EndOffset": len(stored.records)}
        )

    async def _read(
        self, stored: Partition, request: http_stub.Request
    ) -> http_stub.Reply:
        begin = int(request.query["From"])
        wait_s = int(request.query.get("WaitMs", "0")) / 1_000
        await stored.changed.wait_for(
            lambda: len(stored.records) > begin, wait_s
        )
        body = bytearray(struct.pack(">QQ", len(stored.records), 0))
        for key, value in stored.records[begin:]:
            name = key.encode()
            content = bytes((len(name),)) + name + value
            body += struct.pack(">I", len(content)) + content
        return 200, bytes(body)

    def _newest(
        self, stored: Partition, request: http_stub.Request
    ) -> http_stub.Reply:
        after = request.query.get("DependsOn", "")
        newest = sorted(
            item for item in stored.newest().items() if item[0] > after
        )
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Offset": offset,
            }
            for key, (offset, value) in newest[:PAGE_ITEMS]
        ]
        return http_stub.json_reply(
            200,
            {
                "items": items,
                "HasMore": len(newest) > PAGE_ITEMS,
                "EndOffset": len(stored.records),
            },
        )
