"""Answers where a submission would go, without storing it."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import msgspec

from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.explaining import answers
from comfreylatch.platform import configuration
from comfreylatch.platform import wire

PATH = "/explain/placement"
# The owner answers between two passes; a busy one takes some hundred
# milliseconds for a pass.
ANSWER_TIMEOUT_MS = 1_500
# Of a job that is never stored.
_JOB_ID = "0" * 16

Explain = Callable[[specs.JobSpec, int], answers.PlacementExplanation | None]


class _Question(msgspec.Struct, frozen=True):
    """A job as it would be submitted, and the queue that it would go to."""

    queue_host: str
    queue_path: str
    job: msgspec.Raw


@attrs.frozen
class PlacementPage:
    """Handles questions where a job would go. Thread-safe.

    Attributes:
        get_configuration: Returns the configuration in force; None before the
            first.
        explain: Explains a job's placement; returns None without an answer.
        owner: Returns the newest heartbeat of the cell's owner.
        clock: Source of wall time.
    """

    get_configuration: Callable[[], specs.FleetConfiguration | None]
    explain: Explain
    owner: Callable[[], job_replica.ObservedHeartbeat | None]
    clock: clock_port.Clock

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Returns the reply to a question."""
        current = self.get_configuration()
        if current is None:
            return http.error_reply(503, "no-configuration", "none read yet")
        try:
            question = wire.decode(_Question, request.body)
        except wire.BadMessageError as error:
            return http.error_reply(400, "bad-question", str(error))
        queue = current.find_queue(question.queue_host, question.queue_path)
        if queue is None:
            return http.error_reply(
                404,
                "unknown-queue",
                f"no queue for {question.queue_host}{question.queue_path} in "
                f"configuration version {current.version}",
            )
        try:
            spec = configuration.decode_submission(
                _JOB_ID, queue, bytes(question.job), self.clock.wall_ms()
            )
        except wire.BadMessageError as error:
            return http.error_reply(400, "bad-job", str(error))
        explained = self.explain(spec, ANSWER_TIMEOUT_MS)
        if explained is None:
            return self._unexplained_reply()
        page = {"queue": queue.name, **attrs.asdict(explained)}
        return http.json_reply(200, page)

    def _unexplained_reply(self) -> http.HttpReply:
        observed = self.owner()
        name = observed.heartbeat.host if observed else "unknown"
        return http.error_reply(
            409,
            "not-explained",
            "this host doesn't own the cell, or its owner gave no answer in "
            f"{ANSWER_TIMEOUT_MS} ms; the owner is {name}",
        )
