"""Tests of the fold of a zone's stream."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._ports import workers
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import records
from comfreylatch._version import zone_fold

BOUNDS = job_records.ClaimBounds(6_000, 6_000, 60_000, 2_000, 500)
EVENT = zone_fold.IgnoredReason
PHASE = job_state.JobPhase


def spec(job: str, run_time_ms: int = 1_000) -> job_records.JobSpec:
    """A small job."""
    size = workers.Resources(1_000, 100)
    return job_records.JobSpec(
        job, "faculty", "bole", "stack", size, run_time_ms
    )


def end(term: int, attempt: int, how: str = "finished") -> Any:
    """An end of an attempt of the job `a`."""
    return job_records.AttemptEnded(
        term, "a", attempt, job_records.AttemptEnd(how), 900, 500
    )


class Stream:
    """A fold that is given bodies one by one."""

    def __init__(self, **given: int) -> None:
        self.fold = zone_fold.ZoneFold(**given)
        self.offset = -1

    def add(self, *bodies: Any) -> None:
        """Folds bodies as the next records."""
        for body in bodies:
            self.offset += 1
            payload = records.encode("host", self.offset, body)
            envelope, decoded = records.decode(payload).unwrap()
            self.fold.apply(self.offset, envelope, decoded)

    def count(self, event: zone_fold.IgnoredReason) -> int:
        """How many records were refused for a reason."""
        return self.fold.events().get(event, 0)


def running() -> Stream:
    """Host `h` owns the zone, and attempt 1 of `a` is assigned."""
    stream = Stream()
    stream.add(
        job_records.OwnerClaimed(1, 0, "h", BOUNDS),
        job_records.JobAdmitted(spec("a")),
        job_records.AttemptAssigned(1, "a", 1, "w0", 0),
    )
    return stream


class ClaimTest(testtools.TestCase):
    """Claims are settled by position."""

    def test_first_of_two_claims_wins(self) -> None:
        """Both name the same term; the second one changes nothing."""
        stream = Stream()
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.OwnerClaimed(1, 0, "other", BOUNDS),
        )
        self.assertEqual("h", stream.fold.claims()[-1].host)
        self.assertEqual(1, stream.count(EVENT.CLAIM_LOST))

    def test_records_of_a_replaced_owner_are_refused(self) -> None:
        """Its end and its renewal change nothing and are counted."""
        stream = running()
        stream.add(
            job_records.OwnerClaimed(2, 1, "other", BOUNDS),
            end(1, 1),
            job_records.OwnerRenewed(1, "h"),
        )
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)
        self.assertEqual(2, stream.count(EVENT.WRONG_TERM))

    def test_records_after_a_release_are_refused(self) -> None:
        """A released term is over."""
        stream = running()
        stream.add(job_records.OwnerReleased(1, "h"), end(1, 1))
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)


class JobTest(testtools.TestCase):
    """Jobs and their attempts."""

    def test_same_id_and_content_is_the_same_job(self) -> None:
        """It is admitted once."""
        stream = running()
        stream.add(job_records.JobAdmitted(spec("a")))
        self.assertEqual(1, stream.count(EVENT.DUPLICATE_JOB))
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)

    def test_same_id_with_other_content_is_refused(self) -> None:
        """The first content stays."""
        stream = running()
        stream.add(job_records.JobAdmitted(spec("a", 2_000)))
        self.assertEqual(1, stream.count(EVENT.JOB_ID_TAKEN))
        self.assertEqual(1_000, stream.fold.job("a").spec.run_time_ms)

    def test_completion_counts_once(self) -> None:
        """The second one is counted and dropped."""
        stream = running()
        stream.add(end(1, 1), end(1, 1, "failed"))
        self.assertEqual(PHASE.FINISHED, stream.fold.job("a").phase)
        self.assertEqual(1, stream.count(EVENT.LATE_END))

    def test_late_end_of_an_old_attempt_changes_nothing(self) -> None:
        """Attempt 2 goes on when attempt 1 is heard of again."""
        stream = running()
        stream.add(
            end(1, 1, "lost"),
            job_records.AttemptAssigned(1, "a", 2, "w1", 500),
            end(1, 1),
        )
        state = stream.fold.job("a")
        self.assertEqual((PHASE.ASSIGNED, 2), (state.phase, state.attempt))

    def test_evicted_job_resumes_from_its_checkpoint(self) -> None:
        """It queues again with what was kept."""
        stream = running()
        stream.add(end(1, 1, "evicted"))
        state = stream.fold.job("a")
        self.assertEqual(
            (PHASE.QUEUED, 500), (state.phase, state.checkpoint_ms)
        )

    def test_cancellation_before_assignment_wins(self) -> None:
        """The assignment that was on its way is void."""
        stream = Stream()
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.JobAdmitted(spec("a")),
            job_records.JobCancelled("a"),
            job_records.AttemptAssigned(1, "a", 1, "w0", 0),
        )
        self.assertEqual(PHASE.CANCELLED, stream.fold.job("a").phase)
        self.assertEqual(1, stream.count(EVENT.ASSIGN_REFUSED))

    def test_moved_job_comes_back_with_its_attempts(self) -> None:
        """The same job may return from another zone."""
        stream = running()
        stream.add(
            end(1, 1, "lost"),
            job_records.JobMoved(1, "a", "entoto"),
            job_records.JobAdmitted(spec("a"), checkpoint_ms=700, attempt=3),
        )
        state = stream.fold.job("a")
        self.assertEqual((PHASE.QUEUED, 3), (state.phase, state.attempt))

    def test_repeated_id_is_known_after_the_job_retired(self) -> None:
        """An id is not run again just because its job ended long ago."""
        stream = Stream(retire_after_records=5)
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.JobAdmitted(spec("a")),
            job_records.JobCancelled("a"),
            *[job_records.OwnerRenewed(1, "h")] * 8,
        )
        self.assertIsNone(stream.fold.job("a"))
        stream.add(job_records.JobAdmitted(spec("a")))
        self.assertIsNone(stream.fold.job("a"))
        self.assertEqual(1, stream.count(EVENT.DUPLICATE_JOB))


class SnapshotTest(testtools.TestCase):
    """State taken and put back."""

    def test_restored_fold_goes_on_alike(self) -> None:
        """Digest and later states are those of the original."""
        stream = running()
        copy = Stream()
        copy.fold.restore(stream.offset, stream.fold.snapshot())
        copy.offset = stream.offset
        self.assertEqual(stream.fold.digest(), copy.fold.digest())
        for each in (stream, copy):
            each.add(end(1, 1), job_records.JobAdmitted(spec("b")))
        self.assertEqual(stream.fold.digest(), copy.fold.digest())

    def test_digest_differs_with_the_state(self) -> None:
        """One record more gives another digest."""
        stream = running()
        before = stream.fold.digest()
        stream.add(end(1, 1))
        self.assertNotEqual(before, stream.fold.digest())

    def test_malformed_snapshot_is_refused(self) -> None:
        """As a ValueError, which followers expect."""
        fold = zone_fold.ZoneFold()
        self.assertRaises(ValueError, fold.restore, 1, b"{}")
