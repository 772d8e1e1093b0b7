"""Reports folded decisions and updates worker health from ends of attempts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import final

import attrs
import logbook

from comfreylatch._process import journal as journal_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process.batch import worker_health
from comfreylatch._version import job_records
from comfreylatch._version import zone_fold

_logger = logbook.Logger(__name__)


@final
class DecisionReporter:
    """Updates journal, metrics and worker health. Not thread-safe."""

    def __init__(
        self,
        zone: str,
        fold: zone_fold.ZoneFold,
        health: worker_health.WorkerHealth,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._zone = zone
        self._fold = fold
        self._health = health
        self._journal = journal
        self._metrics = metrics

    def with_worker_fault(self, body: Any) -> Any:
        """Returns a record, with `worker_fault` set if an attempt failed."""
        if not isinstance(body, job_records.AttemptEnded):
            return body
        state = self._fold.job(body.job)
        failed = body.end is job_records.AttemptEnd.FAILED
        if state is None or not failed:
            return body
        suspect = self._health.is_suspect(state.worker)
        return attrs.evolve(body, worker_fault=suspect)

    def report_folded(
        self, bodies: Sequence[Any], worker_count: int, now_ms: int
    ) -> None:
        """Reports records that are now folded."""
        for body in bodies:
            match body:
                case job_records.AttemptAssigned():
                    sentence = f"attempt {body.attempt} on {body.worker}"
                    self._report(body.job, "assigned", sentence)
                case job_records.AttemptEnded():
                    self._report_end(body, worker_count, now_ms)
                case job_records.JobParked():
                    self._report(body.job, body.reason, body.detail)
                case _:
                    pass

    def _report_end(
        self, body: job_records.AttemptEnded, worker_count: int, now_ms: int
    ) -> None:
        sentence = (
            f"attempt {body.attempt} {body.end} after {body.progress_ms} ms, "
            f"checkpoint at {body.checkpoint_ms} ms"
        )
        self._report(body.job, f"attempt-{body.end}", sentence)
        state = self._fold.job(body.job)
        if state is None or state.attempt != body.attempt:
            return
        match body.end:
            case job_records.AttemptEnd.FINISHED:
                if self._health.record_success(state.worker):
                    self._report_worker(state.worker, "quarantine-ended")
            case job_records.AttemptEnd.FAILED:
                failed_elsewhere = any(
                    worker != state.worker for worker in state.failed_workers
                )
                if self._health.record_failure(
                    state.worker,
                    body.job,
                    failed_elsewhere,
                    worker_count,
                    now_ms,
                ):
                    self._report_worker(state.worker, "quarantined")
            case job_records.AttemptEnd.EVICTED:
                self._metrics.count(
                    metrics_module.Counter.EVICTIONS, state.spec.job_class
                )
            case _:
                pass

    def _report(self, job: str, reason: str, sentence: str) -> None:
        self._metrics.count(metrics_module.Counter.JOB_EVENTS, reason)
        offset = self._fold.offset()
        self._journal.record(reasons.Subject.JOB, job, reason, sentence, offset)

    def _report_worker(self, worker: str, reason: str) -> None:
        logs.event(_logger, reason, worker=worker, zone=self._zone)
        self._metrics.count(metrics_module.Counter.JOB_EVENTS, reason)
        sentence = "based on how attempts ended on it and on other workers"
        self._journal.record(reasons.Subject.WORKER, worker, reason, sentence)
