"""Tests of structured log lines."""

from __future__ import annotations

import io

import logbook
import testtools

from comfreylatch._process import logs


class LogOutputTest(testtools.TestCase):
    """Tests that each event is one line."""

    def lines_of(self, level: str, **fields: object) -> list[str]:
        stream = io.StringIO()
        logger = logbook.Logger("test")
        with logs.TextLogOutput(level, stream):
            logs.event(logger, "job-placed", **fields)
        return stream.getvalue().splitlines()

    def test_fields_follow_the_event(self) -> None:
        (line,) = self.lines_of("info", job="j-1", attempt=2)
        self.assertTrue(line.endswith("event=job-placed job=j-1 attempt=2"))

    def test_value_with_newline_stays_on_one_line(self) -> None:
        (line,) = self.lines_of("info", detail='a\n"b" c')
        self.assertIn('detail="a\\n\\"b\\" c"', line)

    def test_events_below_the_level_are_dropped(self) -> None:
        self.assertEqual([], self.lines_of("warning"))

    def test_long_value_is_truncated(self) -> None:
        (line,) = self.lines_of("info", detail="x" * 100_000)
        self.assertLess(len(line), 2 * logs.MAX_VALUE_CHARS)

    def test_traceback_stays_on_the_line_of_its_event(self) -> None:
        stream = io.StringIO()
        logger = logbook.Logger("test")
        with logs.TextLogOutput("info", stream):
            try:
                raise ValueError("one\ntwo")
            except ValueError:
                logger.exception("step failed detail={}", "a\nb")
        (line,) = stream.getvalue().splitlines()
        self.assertIn("ValueError: one\\ntwo", line)
