"""Tests of the stand-in for the platform's log."""

from __future__ import annotations

from typing import Any

import msgspec
import testtools

from testing.standins import log as log_stand_in
from testing.standins import serving


def call(method: str, query: dict[str, str], value: Any = None) -> Any:
    body = b"" if value is None else msgspec.json.encode(value)
    return serving.Call(method, "/streams/s/records", query, {}, body)


def append(log: log_stand_in.LogStandIn, *records: str) -> serving.Answer:
    return log.handle(call("POST", {}, {"records": records}))


def read(log: log_stand_in.LogStandIn, first: int) -> Any:
    answer = log.handle(call("GET", {"from": str(first)}))
    return answer.status, msgspec.json.decode(answer.body)


class LogStandInTest(testtools.TestCase):
    """Offsets, retention, rate and faults of the log."""

    def setUp(self) -> None:
        super().setUp()
        self.log = log_stand_in.LogStandIn(log_stand_in.LogFaults())

    def test_records_of_one_append_get_consecutive_offsets(self) -> None:
        append(self.log, "a")
        answer = append(self.log, "b", "c")
        self.assertEqual({"offset": 1}, msgspec.json.decode(answer.body))
        _, page = read(self.log, 0)
        self.assertEqual(
            [0, 1, 2], [record["offset"] for record in page["records"]]
        )
        self.assertEqual(3, page["next"])

    def test_read_of_expired_offset_fails(self) -> None:
        self.log.control({"keep_records": 2})
        append(self.log, "a", "b", "c")
        self.assertEqual((410, {"first": 1}), read(self.log, 0))

    def test_lose_before_drops_and_lose_after_stores_record(self) -> None:
        self.log.control({"lose_before": 1})
        self.assertEqual(serving.Drop(), append(self.log, "a"))
        self.assertEqual([], read(self.log, 0)[1]["records"])
        self.log.control({"lose_after": 1})
        self.assertEqual(serving.Drop(), append(self.log, "b"))
        self.assertEqual(1, len(read(self.log, 0)[1]["records"]))

    def test_appends_above_rate_are_refused(self) -> None:
        self.log.control({"appends_per_second": 2})
        statuses = [append(self.log, "a").status for _ in range(3)]
        self.assertEqual([200, 200, 503], statuses)

    def test_unavailable_log_stores_nothing(self) -> None:
        self.log.control({"down": True})
        self.assertEqual(503, append(self.log, "a").status)
        self.log.control({"down": False})
        self.assertEqual(0, read(self.log, 0)[1]["next"])
