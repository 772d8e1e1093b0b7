"""Tests of trace files."""

from __future__ import annotations

import testtools

from comfreylatch._commands import trace as traces
from testing import traces as testing_traces

HEADER = b'{"format": 1, "name": "t", "seed": 3, "duration_ms": 100}'


class TraceTest(testtools.TestCase):
    """Generating, encoding and decoding traces."""

    def refusal(self, *lines: bytes) -> traces.BadTrace:
        return traces.decode(lines).err_value

    def test_generated_trace_decodes_to_itself(self) -> None:
        workload = testing_traces.utility_night()
        generators = [
            testing_traces.TraceGenerator(
                "n", workload, shape, seed=5, duration_ms=2_000
            )
            for shape in (
                testing_traces.LoadShape.CALM,
                testing_traces.LoadShape.CALM,
            )
        ]
        first, second = (generator.generate() for generator in generators)
        self.assertEqual(first, second)
        lines = traces.encode(first).splitlines()
        self.assertEqual(first, traces.decode(lines).ok_value)

    def test_errors_name_the_line(self) -> None:
        request = b'{"kind": "request", "at_ms": 5, "service": "s"}'
        early = b'{"kind": "request", "at_ms": 4, "service": "s"}'
        refusals = [
            self.refusal(),
            self.refusal(b'{"format": 9}'),
            self.refusal(HEADER, b"{"),
            self.refusal(HEADER, b'{"kind": "reqest", "at_ms": 1}'),
            self.refusal(HEADER, b'{"kind": "request", "at_ms": 1}'),
            self.refusal(HEADER, b'{"kind": "request", "at": 1}'),
            self.refusal(HEADER, request, early),
        ]
        lines = [refusal.line for refusal in refusals]
        self.assertEqual([1, 1, 2, 2, 2, 2, 3], lines)

    def test_deeply_nested_line_is_refused(self) -> None:
        nested = b"[" * 100_000
        self.assertEqual(2, self.refusal(HEADER, nested).line)
