"""Tests of JSON logs, which must not block the program."""

from __future__ import annotations

import json
import os
import threading
import time
from typing import Any
from unittest import mock

import logbook
import testtools

from comfreylatch._process import json_logs
from comfreylatch._process import logs

_logger = logbook.Logger("test")


class JsonLogsTest(testtools.TestCase):
    """Tests that write log lines to a pipe."""

    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def lines(self) -> list[Any]:
        """Lines written so far."""
        text = os.read(self.reader, 1 << 20).decode()
        return [json.loads(line) for line in text.splitlines()]

    def test_event_is_one_line_with_its_fields(self) -> None:
        with json_logs.JsonLogOutput("info", self.writer):
            logs.event(_logger, "job-ended", job="a", age_ms=7)
        (line,) = self.lines()
        self.assertEqual(
            ("job-ended", "a", 7), (line["event"], line["job"], line["age_ms"])
        )

    def test_lines_above_the_rate_limit_are_counted(self) -> None:
        with json_logs.JsonLogOutput("info", self.writer):
            # Usually within one second; at most the second changes once.
            for _ in range(200):
                logs.event(_logger, "pace", task="a")
        lines = self.lines()
        suppressed = sum(
            line["by_event"]["pace"]
            for line in lines
            if line["event"] == "lines-folded"
        )
        written = sum(line["event"] == "pace" for line in lines)
        self.assertEqual(200, suppressed + written)
        self.assertLessEqual(written, 2 * json_logs.MAX_EVENT_LINES_PER_SECOND)

    def test_stalled_output_does_not_block_and_drops_are_counted(
        self,
    ) -> None:
        output = json_logs.JsonLogOutput("info", self.writer)
        with output:
            started_s = time.monotonic()
            for number in range(3 * json_logs.MAX_QUEUED_LINES):
                logs.event(_logger, "job-ended", job=str(number), pad="x" * 90)
                if number == json_logs.MAX_QUEUED_LINES // 2:
                    # Give the writer time to block on the full pipe.
                    time.sleep(3 * json_logs.WRITE_INTERVAL_S)
            self.assertLess(time.monotonic() - started_s, 5)
            received: list[Any] = []
            reader_thread = threading.Thread(
                target=self.read_until_end, args=(received,)
            )
            reader_thread.start()
            time.sleep(5 * json_logs.WRITE_INTERVAL_S)
        end_marker = b'{"event":"end"}\n'
        os.write(self.writer, end_marker)
        reader_thread.join(5)
        drop_reports = [
            line for line in received if line["event"] == "lines-dropped"
        ]
        written = sum(line["event"] == "job-ended" for line in received)
        dropped_count = sum(
            line["by_event"]["job-ended"] for line in drop_reports
        )
        self.assertEqual(
            3 * json_logs.MAX_QUEUED_LINES, written + dropped_count
        )
        self.assertGreater(dropped_count, 0)

    # Guards against losing the rest of a long write: the platform cut off lines
    # on changes of owner when many workers reported at once.
    def test_long_output_is_written_in_pieces_of_whole_lines(self) -> None:
        written: list[bytes] = []

        def write(descriptor: int, content: bytes) -> int:
            del descriptor
            written.append(bytes(content))
            return len(content)

        with mock.patch.object(json_logs.os, "write", write):
            with json_logs.JsonLogOutput("info", self.writer):
                for number in range(300):
                    logs.event(_logger, "job-ended", job=str(number))
        self.assertGreater(len(written), 1)
        for piece in written:
            self.assertLessEqual(len(piece), json_logs.MAX_WRITE_BYTES)
            self.assertTrue(piece.endswith(b"\n"))
        lines = b"".join(written).splitlines()
        self.assertEqual(
            [str(number) for number in range(300)],
            [json.loads(line)["job"] for line in lines],
        )

    def read_until_end(self, received: list[Any]) -> None:
        """Reads lines up to the end marker."""
        rest = b""
        while not received or received[-1]["event"] != "end":
            rest += os.read(self.reader, 1 << 16)
            *complete, rest = rest.split(b"\n")
            received.extend(json.loads(line) for line in complete)
