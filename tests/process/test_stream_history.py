"""Random histories of losses, repetitions, restarts and outages."""

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
                # The path that goes well has to be frequent as well.
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
# Derandomized: the same histories at each run.
CHECK_SETTINGS = hypothesis.settings(
    max_examples=300, derandomize=True, deadline=None, database=None
)
SEARCH_SETTINGS = hypothesis.settings(
    CHECK_SETTINGS,
    max_examples=3_000,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
)


def run_history(actions: list[stream_history.Action]) -> None:
    stream_history.History().run_history(actions)


class StreamHistoryTest(testtools.TestCase):
    """Nothing is lost, doubled or reverted; without a guard it is."""

    def test_random_histories_keep_the_invariants(self) -> None:
        """Whatever happens, what was answered is what was folded."""
        CHECK_SETTINGS(hypothesis.given(HISTORIES)(run_history))()

    def test_without_sequence_check_a_violation_is_found(self) -> None:
        """A repeated append is folded twice."""
        patch = mock.patch.object(
            writers.WriterTable, "take", return_value=True
        )
        self._assert_violation_found(patch)

    def test_without_offset_check_a_violation_is_found(self) -> None:
        """Entries pushed by a peer leave a gap."""
        patch = mock.patch.object(
            stream_state.StreamState, "_is_contiguous", return_value=True
        )
        self._assert_violation_found(patch)

    def _assert_violation_found(self, patch: mock._patch) -> None:
        with patch:
            self.assertRaises(
                stream_history.PromiseBrokenError,
                SEARCH_SETTINGS(hypothesis.given(HISTORIES)(run_history)),
            )
