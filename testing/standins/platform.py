"""Stand-ins for the users' platform: its record store and executors."""

from __future__ import annotations

import base64
import json
import struct
import threading
import time
from typing import Any
from typing import final

import result

from comfreylatch._connection import http
from comfreylatch._connection import http_server
from comfreylatch._ports import cell_workers
from comfreylatch._ports import store as store_port
from testing.fakes import cell_workers as fake_workers
from testing.fakes import record_store

MAX_BODY_BYTES = 1 << 20
THREADS = 24
_REFUSED = {
    cell_workers.Refusal.FENCED: "fence",
    cell_workers.Refusal.OLD_RUN: "old",
}


@final
class StoreStandIn:
    """Serves an in-memory record store over HTTP.

    Attributes:
        memory_store: Store that holds the records.
        page_size: Maximum number of items on a page of newest records.
        answering: While cleared, calls are accepted and not answered.
        delay_ms: How long each call takes in addition.
    """

    def __init__(self) -> None:
        self.memory_store = record_store.MemoryStore()
        self.page_size = 500
        self.answering = threading.Event()
        self.answering.set()
        self.delay_ms = 0

    def serve(self) -> http_server.HttpServer:
        """Returns an HTTP server for this stand-in on a free port."""
        return http_server.HttpServer(
            "127.0.0.1:0", self.handle, THREADS, MAX_BODY_BYTES
        )

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Handles one HTTP request."""
        self.answering.wait()
        time.sleep(self.delay_ms / 1_000)
        topic = request.query.get("Topic", "")
        part = int(request.query.get("part", "0"))
        match request.path:
            case "/v1/log-append":
                return self._append(request, topic, part)
            case "/v1/log-read":
                return self._read(request, topic, part)
            case "/v1/log-newest":
                return self._newest(request, topic, part)
        return http.HttpReply(404)

    def _append(
        self, request: http.HttpRequest, topic: str, part: int
    ) -> http.HttpReply:
        query = request.query
        producer = None
        if "Producer" in query:
            producer = store_port.Producer(
                query["Producer"], int(query["epoch"]), int(query["Sequence"])
            )
        at_offset = int(query["At"]) if "At" in query else None
        match self.memory_store.append(
            topic,
            part,
            _decode_records(request.body),
            at_offset=at_offset,
            producer=producer,
        ):
            case result.Ok(offset):
                return http.json_reply(200, {"Offset": offset})
            case result.Err(store_port.EndOffsetMismatch(end)):
                return http.json_reply(412, {"EndOffset": end})
            case result.Err(store_port.ProducerFenced()):
                return http.json_reply(409, {"Reason": "fenced"})
            case result.Err(store_port.SequenceMismatch(sequence)):
                return http.json_reply(
                    409, {"Reason": "seq", "Sequence": sequence}
                )
        return http.HttpReply(503)

    def _read(
        self, request: http.HttpRequest, topic: str, part: int
    ) -> http.HttpReply:
        wait_ms = int(request.query.get("WaitMs", "0"))
        match self.memory_store.read(
            topic, part, int(request.query["From"]), wait_ms
        ):
            case result.Ok(batch):
                body = struct.pack(">QQ", batch.end_offset, 0)
                for record in batch.records:
                    key = record.key.encode()
                    content = bytes((len(key),)) + key + (record.value or b"")
                    body += struct.pack(">I", len(content)) + content
                return http.HttpReply(200, body)
            case result.Err(store_port.RecordsExpired(first)):
                return http.json_reply(410, {"FirstOffset": first})
        return http.HttpReply(503)

    def _newest(
        self, request: http.HttpRequest, topic: str, part: int
    ) -> http.HttpReply:
        match self.memory_store.newest(topic, part):
            case result.Ok(batch):
                pass
            case result.Err(_):
                return http.HttpReply(503)
        after = request.query.get("DependsOn", "")
        rest = sorted(
            (record for record in batch.records if record.key > after),
            key=lambda record: record.key,
        )
        items = [
            {
                "Key": record.key,
                "Value": base64.b64encode(record.value or b"").decode(),
                "Offset": record.offset,
            }
            for record in rest[: self.page_size]
        ]
        return http.json_reply(
            200,
            {
                "items": items,
                "HasMore": len(rest) > self.page_size,
                "EndOffset": batch.end_offset,
            },
        )


def _decode_records(body: bytes) -> list[store_port.NewRecord]:
    records = []
    while body:
        (length,) = struct.unpack_from(">I", body)
        content, body = body[4 : 4 + length], body[4 + length :]
        key = content[1 : 1 + content[0]].decode()
        records.append(
            store_port.NewRecord(key, content[1 + content[0] :] or None)
        )
    return records


@final
class ExecutorStandIn:
    """Serves an in-memory worker over HTTP as an executor.

    Attributes:
        worker: The worker that carries out the orders.
        answering: While cleared, calls are accepted and not answered.
    """

    def __init__(self, worker: fake_workers.FakeWorker) -> None:
        self.worker = worker
        self.answering = threading.Event()
        self.answering.set()

    def serve(self) -> http_server.HttpServer:
        """Returns an HTTP server for this stand-in on a free port."""
        return http_server.HttpServer(
            "127.0.0.1:0", self.handle, THREADS, MAX_BODY_BYTES
        )

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Handles one HTTP request."""
        self.answering.wait()
        expected = request.headers.get("x-expected-instance")
        if expected not in (None, self.worker.entry.worker_id):
            return http.HttpReply(421)
        body = json.loads(request.body)
        match request.path:
            case "/v1/hold":
                return self._hold(body)
            case "/v1/run-start":
                return _order_reply(
                    self.worker.start(
                        cell_workers.StartOrder(
                            body["Task"],
                            body["Run"],
                            body["Specification"],
                            body["DeadlineMs"],
                            body["FencingToken"],
                        ),
                        0,
                    )
                )
            case "/v1/run-stop":
                return _order_reply(
                    self.worker.stop(
                        cell_workers.StopOrder(
                            body["Task"], body["Run"], body["FencingToken"]
                        ),
                        0,
                    )
                )
        return http.HttpReply(404)

    def _hold(self, body: dict[str, Any]) -> http.HttpReply:
        order = cell_workers.HoldOrder(
            body["FencingToken"],
            body["LastSeen"],
            body.get("DeadlineMs", 0),
            body.get("WaitMs", 0),
        )
        match self.worker.hold(order, 0):
            case result.Ok(answer):
                return http.json_reply(
                    200,
                    {
                        "ClockMs": answer.clock_ms,
                        "born": self.worker.entry.born_ms,
                        "Running": [
                            [task.task, task.run, "", task.percent, 0]
                            for task in answer.running
                        ],
                        "Ended": [
                            [end.number, end.task, end.run, end.how, ""]
                            for end in answer.ended
                        ],
                    },
                )
            case result.Err(error):
                return _order_reply(result.Err(error))


def _order_reply(
    outcome: result.Result[int, cell_workers.OrderError],
) -> http.HttpReply:
    match outcome:
        case result.Ok(clock_ms):
            return http.json_reply(200, {"ClockMs": clock_ms})
        case result.Err(cell_workers.OrderRefused(reason)):
            return http.json_reply(409, {"Reason": _REFUSED[reason]})
    return http.HttpReply(503)
