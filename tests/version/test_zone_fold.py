"""Tests of folding a zone's stream."""

from __future__ import annotations

from typing import Any

import testtools

from comfreylatch._ports import workers
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import records
from comfreylatch._version import zone_fold

BOUNDS = job_records.ClaimBounds(6_000, 6_000, 60_000, 2_000, 500)
REASON = zone_fold.IgnoredReason
PHASE = job_state.JobPhase


def spec(job: str, run_time_ms: int = 1_000) -> job_records.JobSpec:
    """Returns the spec of a small job."""
    size = workers.Resources(1_000, 100)
    return job_records.JobSpec(
        job, "faculty", "bole", "stack", size, run_time_ms
    )


def end(term: int, attempt: int, how: str = "finished") -> Any:
    """Returns the end of an attempt of job `a`."""
    return job_records.AttemptEnded(
        term, "a", attempt, job_records.AttemptEnd(how), 900, 500
    )


class ZoneStream:
    """A zone fold to which bodies are applied in order."""

    def __init__(self, **limits: int) -> None:
        self.fold = zone_fold.ZoneFold(**limits)
        self.offset = -1

    def add(self, *bodies: Any) -> None:
        """Folds bodies as the next records of the stream."""
        for body in bodies:
            self.offset += 1
            payload = records.encode("host", self.offset, body)
            envelope, decoded = records.decode(payload).unwrap()
            self.fold.apply(self.offset, envelope, decoded)

    def count(self, reason: zone_fold.IgnoredReason) -> int:
        """Returns the number of records ignored for a reason."""
        return self.fold.ignored_counts().get(reason, 0)


def stream_with_running_job() -> ZoneStream:
    """Returns a zone that host `h` owns, with attempt 1 of `a` assigned."""
    stream = ZoneStream()
    stream.add(
        job_records.OwnerClaimed(1, 0, "h", BOUNDS),
        job_records.JobAdmitted(spec("a")),
        job_records.AttemptAssigned(1, "a", 1, "w0", 0),
    )
    return stream


class ClaimTest(testtools.TestCase):
    """Competing claims are resolved by their order in the stream."""

    def test_first_of_two_claims_wins(self) -> None:
        """Both claim the same term; the second is ignored."""
        stream = ZoneStream()
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.OwnerClaimed(1, 0, "other", BOUNDS),
        )
        self.assertEqual("h", stream.fold.claims()[-1].host)
        self.assertEqual(1, stream.count(REASON.CLAIM_LOST))

    def test_records_of_a_replaced_owner_are_ignored(self) -> None:
        """Its end of an attempt and its renewal are ignored and counted."""
        stream = stream_with_running_job()
        stream.add(
            job_records.OwnerClaimed(2, 1, "other", BOUNDS),
            end(1, 1),
            job_records.OwnerRenewed(1, "h"),
        )
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)
        self.assertEqual(2, stream.count(REASON.WRONG_TERM))

    def test_records_after_a_release_are_ignored(self) -> None:
        """A release ends the term."""
        stream = stream_with_running_job()
        stream.add(job_records.OwnerReleased(1, "h"), end(1, 1))
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)


class JobTest(testtools.TestCase):
    """Jobs and their attempts."""

    def test_same_id_and_content_is_the_same_job(self) -> None:
        """The job is admitted once."""
        stream = stream_with_running_job()
        stream.add(job_records.JobAdmitted(spec("a")))
        self.assertEqual(1, stream.count(REASON.DUPLICATE_JOB))
        self.assertEqual(PHASE.ASSIGNED, stream.fold.job("a").phase)

    def test_same_id_with_other_content_is_rejected(self) -> None:
        """The first content is kept."""
        stream = stream_with_running_job()
        stream.add(job_records.JobAdmitted(spec("a", 2_000)))
        self.assertEqual(1, stream.count(REASON.JOB_ID_TAKEN))
        self.assertEqual(1_000, stream.fold.job("a").spec.run_time_ms)

    def test_completion_is_applied_once(self) -> None:
        """The second end is ignored and counted."""
        stream = stream_with_running_job()
        stream.add(end(1, 1), end(1, 1, "failed"))
        self.assertEqual(PHASE.FINISHED, stream.fold.job("a").phase)
        self.assertEqual(1, stream.count(REASON.LATE_END))

    def test_late_end_of_an_old_attempt_is_ignored(self) -> None:
        """Attempt 2 stays assigned when a late end of attempt 1 arrives."""
        stream = stream_with_running_job()
        stream.add(
            end(1, 1, "lost"),
            job_records.AttemptAssigned(1, "a", 2, "w1", 500),
            end(1, 1),
        )
        state = stream.fold.job("a")
        self.assertEqual((PHASE.ASSIGNED, 2), (state.phase, state.attempt))

    def test_evicted_job_resumes_from_its_checkpoint(self) -> None:
        """The job is queued again with its checkpoint."""
        stream = stream_with_running_job()
        stream.add(end(1, 1, "evicted"))
        state = stream.fold.job("a")
        self.assertEqual(
            (PHASE.QUEUED, 500), (state.phase, state.checkpoint_ms)
        )

    def test_cancellation_before_assignment_wins(self) -> None:
        """An assignment after the cancellation is ignored."""
        stream = ZoneStream()
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.JobAdmitted(spec("a")),
            job_records.JobCancelled("a"),
            job_records.AttemptAssigned(1, "a", 1, "w0", 0),
        )
        self.assertEqual(PHASE.CANCELLED, stream.fold.job("a").phase)
        self.assertEqual(1, stream.count(REASON.ASSIGN_REFUSED))

    def test_moved_job_returns_with_its_attempts(self) -> None:
        """A job may return from another zone with its progress."""
        stream = stream_with_running_job()
        stream.add(
            end(1, 1, "lost"),
            job_records.JobMoved(1, "a", "entoto"),
            job_records.JobAdmitted(spec("a"), checkpoint_ms=700, attempt=3),
        )
        state = stream.fold.job("a")
        self.assertEqual((PHASE.QUEUED, 3), (state.phase, state.attempt))

    def test_resubmitted_id_of_a_retired_job_is_a_duplicate(self) -> None:
        """The id of a job that ended long ago must not run again."""
        stream = ZoneStream(retire_after_records=5)
        stream.add(
            job_records.OwnerClaimed(1, 0, "h", BOUNDS),
            job_records.JobAdmitted(spec("a")),
            job_records.JobCancelled("a"),
            *[job_records.OwnerRenewed(1, "h")] * 8,
        )
        self.assertIsNone(stream.fold.job("a"))
        stream.add(job_records.JobAdmitted(spec("a")))
        self.assertIsNone(stream.fold.job("a"))
        self.assertEqual(1, stream.count(REASON.DUPLICATE_JOB))


class SnapshotTest(testtools.TestCase):
    """Snapshot and restore."""

    def test_restored_fold_continues_identically(self) -> None:
        """Its digest and later states equal those of the original."""
        stream = stream_with_running_job()
        copy = ZoneStream()
        copy.fold.restore(stream.offset, stream.fold.snapshot())
        copy.offset = stream.offset
        self.assertEqual(stream.fold.digest(), copy.fold.digest())
        for instance in (stream, copy):
            instance.add(end(1, 1), job_records.JobAdmitted(spec("b")))
        self.assertEqual(stream.fold.digest(), copy.fold.digest())

    def test_digest_differs_with_the_state(self) -> None:
        """A further record changes the digest."""
        stream = stream_with_running_job()
        before = stream.fold.digest()
        stream.add(end(1, 1))
        self.assertNotEqual(before, stream.fold.digest())

    def test_malformed_snapshot_is_rejected(self) -> None:
        """It raises ValueError, which followers handle."""
        fold = zone_fold.ZoneFold()
        self.assertRaises(ValueError, fold.restore, 1, b"{}")
