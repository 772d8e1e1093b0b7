"""Drops ended jobs from the store after their retention time."""

from __future__ import annotations

from typing import final

import logbook

from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import records

# Interval between two passes that drop expired jobs.
PASS_INTERVAL_MS = 5_000

_logger = logbook.Logger(__name__)


@final
class JobRetention:
    """Drops the records of ended jobs to bound the size of store and replicas.

    Only the owner's thread uses it.
    """

    def __init__(
        self,
        replica: job_replica.JobReplica,
        writer: fenced_writer_module.FencedWriter,
        retention_ms: int,
        clock: clock_port.Clock,
    ) -> None:
        self._replica = replica
        self._writer = writer
        self._retention_ms = retention_ms
        self._clock = clock
        self._last_pass_ms = clock.monotonic_ms()

    def drop_expired(self) -> None:
        """Drops expired jobs if the interval since the last pass is over."""
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_pass_ms < PASS_INTERVAL_MS:
            return
        self._last_pass_ms = now_ms
        ended = self._replica.ended_before(now_ms - self._retention_ms)
        if not ended:
            return
        drops: dict[str, bytes | None] = {}
        for job_id in ended:
            # The spec was dropped when the job ended, but a host that had not
            # read of the job yet may have stored it once more.
            for prefix in (
                records.JOB_PREFIX,
                records.CANCEL_PREFIX,
                records.STATE_PREFIX,
            ):
                drops[prefix + job_id] = None
        self._writer.write(drops, {}, ())
        logs.event(_logger, "jobs-forgotten", count=len(ended))
