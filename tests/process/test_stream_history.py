"""Property tests of streams under random faults, restarts and outages."""

from __future__ import annotations

from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from comfreylatch._process import stream_state
from comfreylatch._version import writers
from testing import stream_history

HISTORIES = strategies.lists(
    strategies.builds(
        stream_history.Action,
        strategies.sampled_from(
            [
                *stream_history.ActionKind,
                # Repeated so that histories also make progress.
                stream_history.ActionKind.SUBMIT,
                stream_history.ActionKind.APPEND,
                stream_history.ActionKind.FOLLOW,
            ]
        ),
        strategies.integers(0, stream_history.HOSTS - 1),
        strategies.integers(0, 20),
    ),
    min_size=10,
    max_size=60,
)
# Derandomized, so that each run checks the same histories.
CHECK_SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
SEARCH_SETTINGS = hypothesis.settings(
    CHECK_SETTINGS,
    max_examples=3_000,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


def run(actions: list[stream_history.Action]) -> None:
    stream_history.HistoryRunner().run(actions)


class StreamHistoryTest(testtools.TestCase):
    """Tests that records are never lost, folded twice or reverted.

    The same histories find a violation if a check is disabled.
    """

    def test_random_histories_keep_the_invariants(self) -> None:
        """Every history folds exactly what callers were told was appended."""
        CHECK_SETTINGS(hypothesis.given(HISTORIES)(run))()

    def test_without_sequence_check_a_violation_is_found(self) -> None:
        """Without the sequence check, a repeated append is folded twice."""
        patch = mock.patch.object(
            writers.WriterTable, "record", return_value=True
        )
        self._assert_violation_found(patch)

    def test_without_offset_check_a_violation_is_found(self) -> None:
        """Without the offset check, entries pushed by a peer leave a gap."""
        patch = mock.patch.object(
            stream_state.StreamState, "_is_contiguous", return_value=True
        )
        self._assert_violation_found(patch)

    def _assert_violation_found(self, patch: mock._patch) -> None:
        with patch:
            self.assertRaises(
                stream_history.InvariantViolationError,
                SEARCH_SETTINGS(hypothesis.given(HISTORIES)(run)),
            )
