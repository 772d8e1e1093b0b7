"""Stand-in for the platform's append-only log; see docs/PLATFORM.md.

Control: any of `{"down": bool, "slow_ms": N, "lose_after": K,
"lose_before": K, "keep_records": N, "keep_ms": N, "appends_per_second": N}`.
"""

from __future__ import annotations

import argparse
import collections
import threading
import time
from typing import Any

import attrs
import msgspec

from testing.standins import serving

DEFAULT_KEEP_RECORDS = 100_000
DEFAULT_KEEP_MS = 3_600_000
DEFAULT_APPENDS_PER_SECOND = 400
DEFAULT_READ_RECORDS = 1_000
MAX_WAIT_MS = 30_000


@attrs.define
class LogFaults:
    """Active faults and limits, all of which can change at run time.

    Attributes:
        down: Every call is answered with status 503.
        slow_ms: Delay added to every call.
        lose_after: Number of next appends stored without an answer.
        lose_before: Number of next appends dropped without an answer.
        keep_records: Maximum number of records in a stream.
        keep_ms: Maximum age of a record in a stream.
        appends_per_second: Appends beyond this rate are answered with
            status 503.
    """

    down: bool = False
    slow_ms: int = 0
    lose_after: int = 0
    lose_before: int = 0
    keep_records: int = DEFAULT_KEEP_RECORDS
    keep_ms: int = DEFAULT_KEEP_MS
    appends_per_second: int = DEFAULT_APPENDS_PER_SECOND


@attrs.frozen
class StoredRecord:
    """One record of a stream and the time of its append."""

    offset: int
    payload: str
    at_ms: float


@attrs.frozen
class LogEvent:
    """One append that reached the log.

    Attributes:
        kind: `append`, `refused-rate`, `lost-after` or `lost-before`.
        offset: Offset of the first record; -1 when none was stored.
    """

    at_ms: float
    kind: str
    stream: str
    offset: int
    records: int
    bytes: int


@attrs.define
class Stream:
    """The records of one stream and its next offset."""

    next_offset: int = 0
    records: collections.deque[StoredRecord] = attrs.field(
        factory=collections.deque
    )

    @property
    def first_offset(self) -> int:
        """Lowest retained offset; the next offset when the stream is empty."""
        return self.records[0].offset if self.records else self.next_offset


class LogStandIn:
    """All streams of the log. Thread-safe."""

    def __init__(self, faults: LogFaults) -> None:
        self.faults = faults
        self.journal = serving.Journal()
        self._changed = threading.Condition()
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)
        self._recent_appends_ms: collections.deque[float] = collections.deque()

    def control(self, change: dict[str, Any]) -> dict[str, Any]:
        """Sets faults by name; raises TypeError for unknown names."""
        with self._changed:
            self.faults = attrs.evolve(self.faults, **change)
            self._changed.notify_all()
        return attrs.asdict(self.faults)

    def handle(self, call: serving.Call) -> serving.Answer:
        """Serves one append or read call."""
        if self.faults.slow_ms:
            time.sleep(self.faults.slow_ms / 1_000)
        if self.faults.down:
            return serving.json_reply(503, {"detail": "the log is down"})
        parts = call.path.strip("/").split("/")
        if len(parts) != 3 or parts[0] != "streams" or parts[2] != "records":
            return serving.json_reply(404, {"detail": call.path})
        if call.method == "POST":
            return self._append_call(parts[1], call)
        return self._read_call(parts[1], call)

    def _append_call(self, name: str, call: serving.Call) -> serving.Answer:
        try:
            payloads = msgspec.convert(call.json()["records"], list[str])
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            return serving.json_reply(400, {"detail": str(error)})
        if not payloads:
            return serving.json_reply(400, {"detail": "no records"})
        with self._changed:
            return self._append(name, payloads, len(call.body))

    def _append(
        self, name: str, payloads: list[str], size: int
    ) -> serving.Answer:
        now_ms = serving.now_ms()
        count = len(payloads)
        if self.faults.lose_before > 0:
            self.faults.lose_before -= 1
            self._record_event(now_ms, "lost-before", name, -1, count, size)
            return serving.Drop()
        if not self._within_rate(now_ms):
            self._record_event(now_ms, "refused-rate", name, -1, count, size)
            return serving.json_reply(503, {"detail": "too many appends"})
        stream = self._streams[name]
        offset = stream.next_offset
        for payload in payloads:
            stream.records.append(
                StoredRecord(stream.next_offset, payload, now_ms)
            )
            stream.next_offset += 1
        self._expire(stream, now_ms)
        self._changed.notify_all()
        if self.faults.lose_after > 0:
            self.faults.lose_after -= 1
            self._record_event(now_ms, "lost-after", name, offset, count, size)
            return serving.Drop()
        self._record_event(now_ms, "append", name, offset, count, size)
        return serving.json_reply(200, {"offset": offset})

    def _record_event(
        self,
        at_ms: float,
        kind: str,
        stream: str,
        offset: int,
        count: int,
        size: int,
    ) -> None:
        self.journal.add(LogEvent(at_ms, kind, stream, offset, count, size))

    def _within_rate(self, now_ms: float) -> bool:
        while (
            self._recent_appends_ms
            and self._recent_appends_ms[0] <= now_ms - 1_000
        ):
            self._recent_appends_ms.popleft()
        if len(self._recent_appends_ms) >= self.faults.appends_per_second:
            return False
        self._recent_appends_ms.append(now_ms)
        return True

    def _expire(self, stream: Stream, now_ms: float) -> None:
        oldest_ms = now_ms - self.faults.keep_ms
        while len(stream.records) > self.faults.keep_records:
            stream.records.popleft()
        while stream.records and stream.records[0].at_ms < oldest_ms:
            stream.records.popleft()

    def _read_call(self, name: str, call: serving.Call) -> serving.Answer:
        try:
            first = int(call.query.get("from", "0"))
            max_records = int(call.query.get("max", str(DEFAULT_READ_RECORDS)))
            wait_ms = int(call.query.get("wait_ms", "0"))
        except ValueError as error:
            return serving.json_reply(400, {"detail": str(error)})
        with self._changed:
            stream = self._streams[name]
            self._wait(stream, first, min(wait_ms, MAX_WAIT_MS))
            if self.faults.down:
                return serving.json_reply(503, {"detail": "the log is down"})
            self._expire(stream, serving.now_ms())
            return _read(stream, first, max_records)

    def _wait(self, stream: Stream, first: int, wait_ms: int) -> None:
        deadline_ms = serving.now_ms() + wait_ms
        while stream.next_offset <= first and not self.faults.down:
            left_ms = deadline_ms - serving.now_ms()
            if left_ms <= 0:
                return
            self._changed.wait(left_ms / 1_000)


def _read(stream: Stream, first: int, max_records: int) -> serving.Reply:
    lowest = stream.first_offset
    if first < lowest:
        return serving.json_reply(410, {"first": lowest})
    start = first - lowest
    stop = min(start + max_records, len(stream.records))
    batch = [stream.records[index] for index in range(start, stop)]
    return serving.json_reply(
        200,
        {
            "first": lowest,
            "next": batch[-1].offset + 1 if batch else stream.next_offset,
            "records": [
                {"offset": record.offset, "payload": record.payload}
                for record in batch
            ],
        },
    )


def main() -> None:
    """Serves the log until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--control-port", type=int, default=0)
    parser.add_argument("--keep-records", type=int, default=None)
    parser.add_argument("--keep-ms", type=int, default=None)
    parser.add_argument("--appends-per-second", type=int, default=None)
    args = vars(parser.parse_args())
    port = args.pop("port")
    control_port = args.pop("control_port")
    faults = LogFaults(**{k: v for k, v in args.items() if v is not None})
    log = LogStandIn(faults)
    listener = serving.Listener(log.handle, port)
    listener.start()
    control = serving.ControlServer(log.journal, log.control, control_port)
    serving.announce(address=listener.address, control=control.listener.address)
    serving.wait_for_stop()


if __name__ == "__main__":
    main()
