"""HTTP handler for callers: calls the job API and encodes its outcomes."""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import final

import logbook

from comfreylatch._connection import http
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import job_api as job_api_module
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch._process.cell.forwarding import forwarder
from comfreylatch._process.cell.record_size import limits
from comfreylatch.platform import configuration
from comfreylatch.platform import wire

# Part of a caller's deadline that is reserved for sending the reply.
REPLY_MARGIN_MS = 150
DEFAULT_DEADLINE_MS = 3_000
NO_CONFIGURATION_RETRY_MS = 500
MAX_PAYLOAD_BYTES = 4_000

# Refusals that another host, which reaches the store, need not make.
_UNREACHABLE_STORE = frozenset(
    {reasons.Refusal.STORE_UNAVAILABLE, reasons.Refusal.VIEW_TOO_OLD}
)

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_logger = logbook.Logger(__name__)

GetConfiguration = Callable[[], specs.FleetConfiguration | None]


@final
class CallerHandler:
    """Handles the HTTP requests of callers. Thread-safe."""

    def __init__(
        self,
        get_configuration: GetConfiguration,
        job_api: job_api_module.JobApi,
        request_forwarder: forwarder.Forwarder,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        max_job_bytes: int = limits.StoreLimits().value_bytes,
    ) -> None:
        self._max_job_bytes = max_job_bytes
        self._get_configuration = get_configuration
        self._job_api = job_api
        self._forwarder = request_forwarder
        self._metrics = metrics
        self._clock = clock

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Returns the reply to a request."""
        current = self._get_configuration()
        if current is None:
            return self._refuse(
                503,
                reasons.Refusal.NO_CONFIGURATION,
                "no configuration has been read yet",
                NO_CONFIGURATION_RETRY_MS,
            )
        host = request.headers.get("host", "").partition(":")[0]
        queue = current.find_queue(host, request.path)
        if queue is None:
            return self._refuse(
                404,
                reasons.Refusal.UNKNOWN_QUEUE,
                f"no queue for {host}{request.path} in configuration version "
                f"{current.version}",
            )
        job_id = request.path[len(queue.prefix) :]
        match request.method:
            case "GET" if not job_id:
                return self._queue_length_reply(request, queue)
            case "GET":
                return self._job_state_reply(request, job_id)
            case "POST":
                return self._submit(request, queue, job_id)
            case "DELETE":
                return self._cancel(request, job_id)
        return self._refuse(
            405,
            reasons.Refusal.METHOD_NOT_ALLOWED,
            f"a queue accepts GET, POST and DELETE, not {request.method}",
        )

    def _remaining_ms(self, request: http.HttpRequest) -> int:
        """Returns the time left to process a request before its deadline."""
        text = request.headers.get("x-deadline-ms", "")
        deadline_ms = int(text) if text.isdigit() else DEFAULT_DEADLINE_MS
        used_ms = 0
        if request.received_ms >= 0:
            used_ms = self._clock.monotonic_ms() - request.received_ms
        return max(deadline_ms - used_ms - REPLY_MARGIN_MS, 1)

    def _submit(
        self,
        request: http.HttpRequest,
        queue: specs.QueueSpec,
        job_id: str,
    ) -> http.HttpReply:
        if not _JOB_ID.fullmatch(job_id):
            return self._refuse(
                400,
                reasons.Refusal.BAD_JOB_ID,
                f"job id {job_id!r} is not 16 hexadecimal digits",
            )
        try:
            spec = configuration.decode_submission(
                job_id, queue, request.body, self._clock.wall_ms()
            )
        except wire.BadMessageError as error:
            return self._refuse(
                400, reasons.Refusal.BAD_JOB, f"job {job_id}: {error}"
            )
        if len(spec.payload.encode()) > MAX_PAYLOAD_BYTES:
            return self._refuse(
                400,
                reasons.Refusal.PAYLOAD_TOO_LONG,
                f"payload of job {job_id} exceeds {MAX_PAYLOAD_BYTES} bytes",
            )
        size = len(records.encode(spec))
        if size > self._max_job_bytes:
            return self._refuse(
                400,
                reasons.Refusal.BAD_JOB,
                f"record of job {job_id} takes {size} bytes, over the limit of "
                f"{self._max_job_bytes}",
            )
        is_known = self._job_api.is_known(job_id)
        if not is_known and not self._job_api.is_store_reachable:
            # The store may answer too late to pass the request on after it.
            forwarded = self._forward_change(request, job_id)
            if forwarded is not None:
                return forwarded
        outcome = self._job_api.submit(spec, self._remaining_ms(request))
        return self._outcome_reply(request, job_id, outcome)

    def _cancel(self, request: http.HttpRequest, job_id: str) -> http.HttpReply:
        outcome = self._job_api.cancel(job_id, self._remaining_ms(request))
        return self._outcome_reply(request, job_id, outcome)

    def _forward_change(
        self, request: http.HttpRequest, job_id: str
    ) -> http.HttpReply | None:
        """Passes a submission or a cancellation on to the owner.

        Returns:
            The reply; None if the request had no effect there.
        """
        match self._forwarder.forward(request, self._remaining_ms(request)):
            case http.HttpReply() as reply:
                return reply
            case forwarder.NotForwarded():
                return None
            case forwarder.ForwardUnanswered():
                if request.method == "POST" and self._job_api.is_known(job_id):
                    return http.json_reply(200, {})
                return self._undecided_reply(
                    job_id,
                    "the owner gave no answer",
                    reasons.Refusal.UNDECIDED,
                )

    def _forward_question(
        self, request: http.HttpRequest
    ) -> http.HttpReply | None:
        """Passes a question on to the owner; None if it isn't answered."""
        match self._forwarder.forward(request, self._remaining_ms(request)):
            case http.HttpReply() as reply:
                return reply
            case _:
                return None

    def _job_state_reply(
        self, request: http.HttpRequest, job_id: str
    ) -> http.HttpReply:
        match self._job_api.state(job_id):
            case records.JobState() as state:
                return http.json_reply(200, {"State": state.value})
            case job_api_module.UnknownJob():
                return self._unknown_job_reply(job_id)
            case job_api_module.StaleView(age_ms):
                return self._stale_view_reply(request, age_ms)

    def _queue_length_reply(
        self, request: http.HttpRequest, queue: specs.QueueSpec
    ) -> http.HttpReply:
        match self._job_api.count_queued(queue):
            case int() as count:
                return http.json_reply(200, {"Waiting": count})
            case job_api_module.StaleView(age_ms):
                return self._stale_view_reply(request, age_ms)

    def _refuse(
        self,
        status: int,
        reason: reasons.Refusal,
        detail: str,
        retry_after_ms: int = 0,
    ) -> http.HttpReply:
        """Returns an error reply, logging and counting its reason."""
        logs.event(
            _logger, "refused", reason=reason, status=status, detail=detail
        )
        self._metrics.count(metrics_module.Counter.REFUSALS, reason)
        return http.error_reply(status, reason, detail, retry_after_ms)

    def _unknown_job_reply(self, job_id: str) -> http.HttpReply:
        return self._refuse(
            410,
            reasons.Refusal.UNKNOWN_JOB,
            f"job {job_id} is unknown: never accepted, or ended long ago",
        )

    def _stale_view_reply(
        self, request: http.HttpRequest, age_ms: int
    ) -> http.HttpReply:
        forwarded = self._forward_question(request)
        if forwarded is not None:
            return forwarded
        return self._refuse(
            503,
            reasons.Refusal.VIEW_TOO_OLD,
            f"this host's view of jobs is {age_ms} ms old; ask another host",
            job_api_module.RETRY_AFTER_MS,
        )

    def _undecided_reply(
        self, job_id: str, detail: str, reason: reasons.Refusal
    ) -> http.HttpReply:
        return self._refuse(
            504,
            reason,
            f"job {job_id}: the request may have been stored: {detail}",
        )

    def _outcome_reply(
        self,
        request: http.HttpRequest,
        job_id: str,
        outcome: job_api_module.SubmitOutcome | job_api_module.UnknownJob,
    ) -> http.HttpReply:
        match outcome:
            case job_api_module.Accepted():
                return http.json_reply(200, {})
            case job_api_module.Refused(reason, retry_after_ms):
                if reason in _UNREACHABLE_STORE:
                    forwarded = self._forward_change(request, job_id)
                    if forwarded is not None:
                        return forwarded
                return self._refuse(
                    503,
                    reason,
                    f"job {job_id}: the request was not stored",
                    retry_after_ms,
                )
            case job_api_module.Undecided(detail, reason):
                return self._undecided_reply(job_id, detail, reason)
            case job_api_module.UnknownJob():
                return self._unknown_job_reply(job_id)
