"""Tests of the limit on nested JSON."""

from __future__ import annotations

import subprocess
import sys
import time

import testtools

from comfreylatch._connection import json_nesting
from comfreylatch.platform import host

TIMEOUT_S = 30
MAX_CHECK_S = 2.0
SCRIPT = f"""
import threading
from comfreylatch.platform import wire

def decode():
    try:
        wire.decode(wire.WorkerRecord, b'{{"Extra":' + b"[" * 100_000)
    except wire.BadMessageError:
        print("refused")

threading.stack_size({host.THREAD_STACK_BYTES})
thread = threading.Thread(target=decode)
thread.start()
thread.join()
"""


class NestingTest(testtools.TestCase):
    """JSON text with many brackets."""

    def nested(self, depth: int) -> bytes:
        """Returns text of this many levels."""
        pairs, rest = divmod(depth, 2)
        return b'{"a":[' * pairs + b"[" * rest + b"]" * rest + b"]}" * pairs

    def test_depth_is_limited(self) -> None:
        for depth in (1, 63, 64):
            self.assertFalse(json_nesting.is_too_deep(self.nested(depth)))
        for depth in (65, 66, 200, 100_000):
            self.assertTrue(json_nesting.is_too_deep(self.nested(depth)))

    def test_unclosed_levels_count(self) -> None:
        self.assertTrue(json_nesting.is_too_deep(b"[" * 100))

    # Guards against refusing long lists, which are flat.
    def test_long_lists_are_not_deep(self) -> None:
        rows = b",".join([b'["a",{"b":[]}]'] * 10_000)
        self.assertFalse(json_nesting.is_too_deep(b"[" + rows + b"]"))

    # Guards against refusing a job for the text that it passes to its tasks.
    def test_brackets_in_strings_do_not_count(self) -> None:
        text = rb'{"a":"' + rb"[{\"\\" * 500 + rb'","b":["]]]}"]}'
        self.assertFalse(json_nesting.is_too_deep(text))

    # Guards against a message that takes a host's processor for minutes.
    def test_time_grows_with_the_length_only(self) -> None:
        size = 1 << 20
        started_s = time.monotonic()
        for text in (
            b"[" * size,
            b'"' * size,
            b'["' + rb"\"" * (size // 2),
            b"[{" * (size // 2),
            b"[}" * (size // 2),
            b"[" * 100 + b"\\" * size,
        ):
            json_nesting.is_too_deep(text)
        self.assertLess(time.monotonic() - started_s, MAX_CHECK_S)

    # Guards against a message that overflows the stack of a thread, which kills
    # the process on Python 3.12 and later.
    def test_deep_message_is_refused_on_a_small_stack(self) -> None:
        completed = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            capture_output=True,
            check=False,
            timeout=TIMEOUT_S,
        )
        self.assertEqual((0, b"refused\n"), _outcome(completed))


def _outcome(
    completed: subprocess.CompletedProcess[bytes],
) -> tuple[int, bytes]:
    return completed.returncode, completed.stdout
