"""Dispatch of one request to this zone's endpoints, with retries and hedges.

A try that is lost after sending makes the outcome `unknown`, unless the
request is idempotent and a later try is answered. The outcome is `not-run`
only if no try was sent or each one was declined by its endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import final

import result

from comfreylatch._connection import exchange
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import shares
from comfreylatch._process.routing import admission
from comfreylatch._process.routing import load_balancing
from comfreylatch._process.routing import retry_budget
from comfreylatch._request import call as call_module
from comfreylatch._request import dependencies as dependencies_module
from comfreylatch._request import outcomes
from comfreylatch._request import sent_try
from comfreylatch._request import try_observer

# A request is not retried after this many tries, hedges included.
MAX_TRIES = 4
# Endpoints that broke off with a request, after which it is sent to no other:
# it may crash each endpoint that serves it.
MAX_BROKEN_ENDPOINTS = 2
_BROKEN_OFF = frozenset({exchange.Loss.RESET, exchange.Loss.TRUNCATED})
# Share of the remaining time after which a hedge is sent at the latest.
HEDGE_DEADLINE_SHARE = 0.5
MIN_HEDGE_DELAY_MS = 2

_RETRY_REASON_BY_LOSS = {
    exchange.Loss.RESET: reasons.RetryReason.CONNECTION_LOST,
    exchange.Loss.TIMED_OUT: reasons.RetryReason.TRY_TIMED_OUT,
    exchange.Loss.TRUNCATED: reasons.RetryReason.ANSWER_TRUNCATED,
    exchange.Loss.WRONG_ID: reasons.RetryReason.WRONG_ANSWER_ID,
    exchange.Loss.MALFORMED: reasons.RetryReason.ANSWER_TRUNCATED,
}

_RETRY_REASON_BY_FAILURE = {
    exchange.SendFailure.NO_CONNECTION_FREE: (
        reasons.RetryReason.NO_CONNECTION_FREE
    ),
    exchange.SendFailure.SENT_TOO_LATE: (
        reasons.RetryReason.SLOT_HELD_TOO_LONG
    ),
}

SpillHandler = Callable[[call_module.Call], outcomes.RequestOutcome | None]


@final
class RequestDispatch:
    """Runs one request on this zone's endpoints. Used for one request only.

    Args:
        deps: Dependencies of request handling.
        call: The request.
        is_claimed: Whether another host has claimed its id already.
        spill_handler: Called once, if the request would have to wait. Returns
            the outcome if it ran the request in another zone, else None.
        may_wait: Whether the request may wait for a slot.
    """

    def __init__(
        self,
        deps: dependencies_module.RequestDependencies,
        call: call_module.Call,
        is_claimed: bool = False,
        spill_handler: SpillHandler | None = None,
        may_wait: bool = True,
    ) -> None:
        self._deps = deps
        self._call = call
        self._spill_handler = spill_handler
        self._may_wait = may_wait
        self._state = call.state
        self._observer = try_observer.TryObserver(deps, call.state)
        self._tried_endpoints: frozenset[str] = frozenset()
        self._broken_endpoints: frozenset[str] = frozenset()
        needs_claim = call.needs_claim and not is_claimed
        self._guard = deps.guard if needs_claim else None
        self._claim: outcomes.Claim | None = None
        self._last_loss: exchange.LostAfterSend | None = None
        self._tries = 0
        self._slot_acquired_ms = 0
        self._answered_by = ""

    def run(self) -> outcomes.RequestOutcome:
        """Tries endpoints until one answers or no further try is allowed."""
        self._state.budget.earn()
        endpoint = self._state.queue.try_acquire(self._acquire_slot)
        if endpoint is None and self._spill_handler is not None:
            spilled_outcome = self._spill_handler(self._call)
            if spilled_outcome is not None:
                return spilled_outcome
        return self._run_tries(endpoint)

    def _run_tries(self, endpoint: str | None) -> outcomes.RequestOutcome:
        """Tries an endpoint with an acquired slot, then others one by one."""
        while True:
            if endpoint is None:
                match self._wait_for_slot():
                    case result.Ok(granted_endpoint):
                        endpoint = granted_endpoint
                    case result.Err(refusal):
                        return self._outcome_of_refusal(refusal)
            refusal = self._claim_id(endpoint)
            if refusal is not None:
                return refusal
            try_result = self._try_endpoint(endpoint)
            if isinstance(try_result, result.Ok):
                answer = try_result.ok_value
                return outcomes.Answered(
                    answer.status,
                    answer.headers,
                    answer.body,
                    self._answered_by,
                )
            outcome = self._outcome_after_failure(
                endpoint, try_result.err_value
            )
            if outcome is not None:
                return outcome
            endpoint = None

    def _wait_for_slot(self) -> result.Result[str, admission.Refusal]:
        """Waits for a slot and returns the name of its endpoint."""
        if not self._state.usable_endpoints:
            return result.Err(
                admission.Refusal(
                    reasons.RefusalReason.NO_ENDPOINT,
                    f"{self._state.name} has no usable endpoint in this zone",
                    admission.MAX_RETRY_AFTER_MS // 10,
                )
            )
        slot_request = admission.SlotRequest(
            caller=self._call.caller,
            deadline_ms=self._call.deadline_ms,
            acquire_slot=self._acquire_slot,
            is_retry=self._tries > 0,
            may_wait=self._may_wait,
        )
        return self._state.queue.acquire(slot_request)

    def _acquire_slot(self) -> str | None:
        """Acquires a slot of the best endpoint and returns its name.

        Returns None if no slot is free, and reports the demand, which may lead
        to a loan of slots from another host.
        """
        state = self._state
        slots = self._deps.slots
        endpoint = state.picker.pick(
            load_balancing.PickArgs(
                endpoints=state.usable_endpoints,
                free_slots=slots.count_free,
                idempotent=self._call.idempotent,
                excluded_endpoints=self._tried_endpoints,
            )
        )
        if endpoint is None:
            if state.usable_endpoints:
                slots.report_demand(
                    self._deps.rng.choice(state.usable_endpoints)
                )
            return None
        hold_ms = shares.MAX_SEND_DELAY_MS + self._deps.table.max_request_ms
        # The clock is read before the slot is acquired. Otherwise, after a
        # pause in between, the slot would seem younger than in its ledger.
        now_ms = self._deps.clock.monotonic_ms()
        if not slots.try_acquire_slot(endpoint, hold_ms):
            return None
        self._slot_acquired_ms = now_ms
        state.stats.record_start(endpoint, now_ms)
        return endpoint

    def _claim_id(
        self, endpoint: str
    ) -> outcomes.NotRun | outcomes.Unknown | None:
        """Claims the id before the first try, if it needs a claim.

        Returns None on success; else releases the slot and returns the outcome.
        """
        if self._guard is None or self._claim is not None:
            return None
        deadline_ms = self._call.deadline_ms
        claim_result = None
        try:
            claim_result = self._guard.claim(self._call.request_id, deadline_ms)
        finally:
            if claim_result is None or claim_result.is_err():
                self._state.stats.record_inconclusive(endpoint)
                self._make_slot_release(endpoint)()
        match claim_result:
            case result.Ok(claim):
                self._claim = claim
                return None
            case result.Err(refusal):
                return refusal

    def _make_slot_release(self, endpoint: str) -> Callable[[], None]:
        """Returns a callback that releases the slot of an ended request."""
        state = self._state
        slots = self._deps.slots
        clock = self._deps.clock
        slot_acquired_ms = self._slot_acquired_ms

        def release_slot() -> None:
            state.stats.record_end(endpoint, slot_acquired_ms)
            state.queue.record_release(clock.monotonic_ms() - slot_acquired_ms)
            slots.release_slot(endpoint)

        return release_slot

    def _try_endpoint(self, endpoint: str) -> exchange.TryResult:
        """Runs one try, with a hedge if the answer is late."""
        sent_result = self._send_try(endpoint)
        if isinstance(sent_result, result.Err):
            self._observer.record_failure(endpoint, sent_result.err_value, 0.0)
            return result.Err(sent_result.err_value)
        sent = sent_result.ok_value
        if not self._call.idempotent:
            return self._finish(sent)
        hedge = self._await_or_hedge(sent)
        if hedge is None:
            return self._finish(sent)
        return self._await_first(sent, hedge)

    def _send_try(
        self, endpoint: str
    ) -> result.Result[sent_try.SentTry, exchange.EndpointError]:
        self._tries += 1
        deps = self._deps
        send_by_ms = self._slot_acquired_ms + shares.MAX_SEND_DELAY_MS
        started_s = time.monotonic()
        limits = exchange.TryLimits(
            deadline_ms=self._call.deadline_ms,
            send_by_ms=send_by_ms,
            hold_until_ms=send_by_ms + deps.table.max_request_ms,
            max_connections=deps.slots.connection_share(endpoint),
        )
        sent_result = deps.client.begin(
            self._state.addresses.get(endpoint, ""),
            self._call.request,
            limits,
            self._make_slot_release(endpoint),
        )
        return sent_result.map(
            lambda pending: sent_try.SentTry(endpoint, pending, started_s)
        )

    def _finish(self, sent: sent_try.SentTry) -> exchange.TryResult:
        """Waits for the answer to a try and records the result."""
        try_result = sent.pending.finish()
        match try_result:
            case result.Ok(answer):
                self._answered_by = sent.endpoint
                self._observer.record_answer(
                    sent.endpoint, answer, sent.elapsed_ms
                )
            case result.Err(error):
                self._observer.record_failure(
                    sent.endpoint, error, sent.elapsed_ms
                )
        return try_result

    def _await_or_hedge(
        self, sent: sent_try.SentTry
    ) -> sent_try.SentTry | None:
        """Waits for the first byte; sends a hedge if it is late.

        Returns the hedge, or None if there is none to wait for.
        """
        is_hedging_off = self._state.service.hedge_percentile == 0
        if is_hedging_off or self._tries >= MAX_TRIES:
            return None
        if self._broken_endpoints:
            return None
        wait_ms = self._hedge_delay_ms()
        if sent_try.first_readable([sent], wait_ms):
            return None
        if (
            self._remaining_ms() < MIN_HEDGE_DELAY_MS
            or self._state.queue.waiting
        ):
            return None
        if not self._state.budget.try_spend():
            self._count_retry(reasons.RetryReason.BUDGET_SPENT)
            return None
        self._tried_endpoints |= {sent.endpoint}
        endpoint = self._state.queue.try_acquire(self._acquire_slot)
        if endpoint is None:
            self._state.budget.refund()
            return None
        self._journal_retry(
            reasons.RetryReason.HEDGED,
            f"{sent.endpoint} had not answered after {wait_ms:.0f} ms; "
            f"also sent to {endpoint}",
        )
        sent_result = self._send_try(endpoint)
        if isinstance(sent_result, result.Err):
            self._observer.record_failure(endpoint, sent_result.err_value, 0.0)
            self._record_loss(endpoint, sent_result.err_value)
            return None
        return sent_result.ok_value

    def _hedge_delay_ms(self) -> float:
        max_delay_ms = self._remaining_ms() * HEDGE_DEADLINE_SHARE
        quantile_ms = self._state.hedge_quantile.estimate_ms
        return min(max(quantile_ms, MIN_HEDGE_DELAY_MS), max_delay_ms)

    def _await_first(
        self, first: sent_try.SentTry, second: sent_try.SentTry
    ) -> exchange.TryResult:
        """Returns the answer that arrives first and abandons the other try."""
        ready = sent_try.first_readable([first, second], self._remaining_ms())
        winner = ready or first
        loser = second if winner is first else first
        try_result = self._finish(winner)
        if try_result.is_ok():
            loser.pending.abandon()
            self._state.stats.record_inconclusive(loser.endpoint)
            self._count_retry(reasons.RetryReason.HEDGE_CANCELLED)
            return try_result
        self._record_loss(winner.endpoint, try_result.err_value)
        return self._finish(loser)

    def _record_loss(
        self, endpoint: str, error: exchange.EndpointError
    ) -> None:
        """Records that an endpoint may have run the request."""
        if isinstance(error, exchange.LostAfterSend):
            self._last_loss = error
            if error.loss in _BROKEN_OFF:
                self._broken_endpoints |= {endpoint}

    def _outcome_after_failure(
        self, endpoint: str, error: exchange.EndpointError
    ) -> outcomes.RequestOutcome | None:
        """Returns the outcome after a failed try, or None to try again."""
        match error:
            case exchange.NotSent(exchange.SendFailure.DEADLINE_PASSED, detail):
                reason = reasons.RefusalReason.DEADLINE_PASSED
                return self._outcome_without_answer(reason, detail, 0)
            case exchange.NotSent(exchange.SendFailure.BAD_REQUEST, detail):
                reason = reasons.RefusalReason.BAD_REQUEST
                return self._outcome_without_answer(reason, detail, 0)
            case exchange.NotSent(failure, detail):
                retry_reason = _RETRY_REASON_BY_FAILURE.get(
                    failure, reasons.RetryReason.CONNECT_FAILED
                )
                return self._prepare_retry(endpoint, retry_reason, detail)
            case exchange.DeclinedByEndpoint(detail):
                retry_reason = reasons.RetryReason.ENDPOINT_BUSY
                return self._prepare_retry(endpoint, retry_reason, detail)
            case exchange.LostAfterSend(loss, detail):
                self._record_loss(endpoint, error)
                if not self._call.idempotent:
                    return self._unknown_outcome(
                        f"{endpoint}: {loss}: {detail}"
                    )
                retry_reason = _RETRY_REASON_BY_LOSS[loss]
                return self._prepare_retry(endpoint, retry_reason, detail)

    def _prepare_retry(
        self, endpoint: str, reason: reasons.RetryReason, detail: str
    ) -> outcomes.RequestOutcome | None:
        """Returns None if one more try is allowed, else the outcome.

        Waits for the backoff time first if an endpoint may have run the
        request.
        """
        sentence = f"{endpoint}: {detail}"
        remaining_ms = self._remaining_ms()
        if remaining_ms <= 0:
            refusal_reason = reasons.RefusalReason.DEADLINE_PASSED
            return self._outcome_without_answer(refusal_reason, sentence, 0)
        if len(self._broken_endpoints) >= MAX_BROKEN_ENDPOINTS:
            self._count_retry(reasons.RetryReason.ENDPOINTS_BROKE_OFF)
            return self._unknown_outcome(
                f"{', '.join(sorted(self._broken_endpoints))} broke off while "
                "they had the request"
            )
        is_limit_reached = self._tries >= MAX_TRIES
        if is_limit_reached or not self._state.budget.try_spend():
            self._count_retry(reasons.RetryReason.BUDGET_SPENT)
            refusal_reason = reasons.RefusalReason.RETRIES_SPENT
            return self._outcome_without_answer(
                refusal_reason, sentence, self._state.queue.retry_after_ms()
            )
        self._tried_endpoints |= {endpoint}
        self._journal_retry(reason, sentence)
        if self._last_loss is not None:
            backoff_ms = retry_budget.backoff_ms(self._tries, self._deps.rng)
            time.sleep(min(backoff_ms, remaining_ms) / 1_000)
        return None

    def _outcome_of_refusal(
        self, refusal: admission.Refusal
    ) -> outcomes.RequestOutcome:
        return self._outcome_without_answer(
            refusal.reason, refusal.sentence, refusal.retry_after_ms
        )

    def _outcome_without_answer(
        self,
        reason: reasons.RefusalReason,
        sentence: str,
        retry_after_ms: int,
    ) -> outcomes.RequestOutcome:
        """Returns `unknown` after a lost try, else `not-run`.

        Releases the claim in the second case, so that the caller can repeat
        the request.
        """
        if self._last_loss is not None:
            return self._unknown_outcome(
                f"{self._last_loss.detail}; then: {sentence}"
            )
        if self._claim is not None and self._guard is not None:
            self._guard.release(self._claim)
        return outcomes.NotRun(reason, sentence, retry_after_ms)

    def _unknown_outcome(self, sentence: str) -> outcomes.Unknown:
        return outcomes.Unknown(
            reasons.RefusalReason.ANSWER_LOST,
            sentence,
            self._state.queue.retry_after_ms(),
        )

    def _remaining_ms(self) -> int:
        return self._call.deadline_ms - self._deps.clock.monotonic_ms()

    def _count_retry(self, reason: reasons.RetryReason) -> None:
        self._deps.metrics.count(metrics_module.Counter.RETRIES, reason.value)

    def _journal_retry(
        self, reason: reasons.RetryReason, sentence: str
    ) -> None:
        self._count_retry(reason)
        self._deps.journal.record(
            reasons.Subject.REQUEST,
            self._call.request_id,
            reason.value,
            f"retried: {sentence}",
        )
