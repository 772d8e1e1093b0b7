"""Tests of the jobs that a new owner restores."""

from __future__ import annotations

import testtools

from comfreylatch._process.cell import records
from tests.process.cell import harness


class RestoredJobTest(testtools.TestCase):
    """A job with two occurrences, both due."""

    def test_occurrence_without_progress_is_restored(self) -> None:
        # Guards against losing an occurrence of a repeating job when the owner
        # changes: the earlier occurrence has no recorded progress yet, but
        # the later one has.
        spec = harness.job(
            harness.step(),
            repetitions=2,
            first_due_ms=harness.START_MS,
            interval_ms=1,
        )
        previous_owner = harness.Cell()
        previous_owner.clock.advance(1_000)
        job = previous_owner.submit(spec)
        previous_owner.jobs.mark_done(job.steps[1][0].tasks[0])
        progress = records.decode(
            records.ProgressRecord, records.encode(job.progress())
        )
        new_owner = harness.Cell()
        new_owner.clock.advance(1_000)
        restored = new_owner.jobs.add(spec, 1_000, progress)
        self.assertEqual([0, 1], sorted(restored.steps))
        self.assertFalse(restored.is_complete)
