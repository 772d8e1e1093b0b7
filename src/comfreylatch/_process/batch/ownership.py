"""Leader election for a zone, by claims on the zone's stream.

A host owns the zone by a claim record. What it may do follows from its last
proof of ownership: a claim or renewal of its own term that is known to be on
the stream. The proof counts from just before that record was sent. Until
`claim_ms` after the proof no other host claims the zone, and the owner may do
everything. Until `autonomy_ms` after it the owner still renews the leases of
workers that no later term has fenced, but starts nothing. A successor treats
tasks of workers that it has not fenced as running until the bounds of the
predecessor's claim have passed.
"""

from __future__ import annotations

import random
import threading
import types
from typing import final
from typing import Protocol

import attrs
import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import streams
from comfreylatch._process import journal as journal_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import zone_fold

APPEND_TIMEOUT_MS = 1_500
STEP_INTERVAL_MS = 100
RENEWALS_PER_CLAIM = 3
MAX_CLAIM_JITTER_MS = 1_000
# Autonomy in a claim's bounds when the zone is not configured.
DEFAULT_AUTONOMY_MS = 60_000

_logger = logbook.Logger(__name__)


class Follower(Protocol):
    """Reads the zone's stream into the fold."""

    def offset(self) -> int:
        """Offset of the last record folded."""
        ...

    def wait_for(self, offset: int, timeout_ms: int) -> bool:
        """Waits until a record is folded; False on a timeout."""
        ...

    def age_ms(self) -> int:
        """Time since the fold was known to be at the head of the stream."""
        ...


@attrs.frozen
class OwnerPermissions:
    """What this host may do as owner; times are on its monotonic clock.

    Attributes:
        term: Term of its claim; 0 if it isn't the owner.
        bounds: Bounds of that claim; None if it isn't the owner.
        command_until_ms: End of the time in which it may start work and send
            commands.
        renew_until_ms: End of the time in which it may renew leases; after
            `command_until_ms` it sends no commands with them.
    """

    term: int = 0
    bounds: job_records.ClaimBounds | None = None
    command_until_ms: int = 0
    renew_until_ms: int = 0

    def may_start(self, now_ms: int) -> bool:
        """Whether it may start work: no other host can have claimed yet."""
        return self.term > 0 and now_ms < self.command_until_ms

    def may_renew(self, now_ms: int) -> bool:
        """Whether leases may still be renewed."""
        return self.term > 0 and now_ms < self.renew_until_ms


NO_PERMISSIONS = OwnerPermissions()


def max_task_lifetime_ms(claim: job_state.Claim) -> int:
    """Longest time for which tasks can run after a claim's last proof."""
    bounds = claim.bounds
    lease_span_ms = (
        bounds.lease_ms + bounds.command_ttl_ms + 2 * bounds.drift_margin_ms
    )
    if claim.released:
        return lease_span_ms
    return max(bounds.autonomy_ms, bounds.claim_ms) + lease_span_ms


@final
class Ownership:
    """Claims the zone for this host and renews the claim. Thread-safe.

    As a context manager it calls `step` in a loop on its own thread.
    """

    def __init__(
        self,
        host_id: str,
        zone: str,
        appender: streams.RecordAppender,
        follower: Follower,
        fold: zone_fold.ZoneFold,
        source: configuration_port.ConfigurationSource,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
    ) -> None:
        self._host_id = host_id
        self._zone = zone
        self._appender = appender
        self._follower = follower
        self._fold = fold
        self._source = source
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._jitter_ms = random.Random(host_id).randrange(MAX_CLAIM_JITTER_MS)
        self._lock = threading.Lock()
        self._permissions = NO_PERMISSIONS
        self._proof_ms = -1
        self._renewal_sent_ms: int | None = None
        self._first_unconfirmed_sent_ms: int | None = None
        self._own_touched_offset = -1
        # By term: offset of the last renewal or release, whether the claim is
        # released, and whether it is an earlier one of this host.
        self._seen_claims: dict[int, tuple[int, bool, bool]] = {}
        self._predecessor_tasks_until_ms: dict[int, int] = {}
        self._claim_changed_ms = clock.monotonic_ms()
        self._fenced_term = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="ownership", daemon=True
        )

    def __enter__(self) -> Ownership:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._stopping.set()
        self._thread.join()

    @property
    def host_id(self) -> str:
        """Id of this host, as in its claims."""
        return self._host_id

    def permissions(self) -> OwnerPermissions:
        """Returns what this host may do; check right before each exchange."""
        with self._lock:
            if self._fenced_term > self._permissions.term:
                return NO_PERMISSIONS
            return self._permissions

    def predecessor_tasks_until_ms(self) -> int:
        """Time until which unfenced workers may run tasks of earlier terms."""
        with self._lock:
            return max(self._predecessor_tasks_until_ms.values(), default=0)

    def report_fenced(self, term: int) -> None:
        """Records a later term that a worker has seen."""
        with self._lock:
            self._fenced_term = max(self._fenced_term, term)

    def step(self) -> int:
        """Checks the folded claims, then claims or renews when due.

        Returns:
            Milliseconds until the next step is due.
        """
        # Read before the claims: a renewal that is folded in between can only
        # make the claims newer than this age says.
        age_ms = self._follower.age_ms()
        self._observe()
        claims = self._fold.claims()
        claim = claims[-1] if claims else None
        now_ms = self._clock.monotonic_ms()
        if claim is not None and self._is_own(claim):
            self._renew_if_due(claim, now_ms)
        elif self._may_claim(claim, age_ms, now_ms):
            self._claim(0 if claim is None else claim.term)
        return STEP_INTERVAL_MS

    def release(self) -> None:
        """Releases the claim; nothing may be sent to workers afterwards."""
        self._stopping.set()
        with self._lock:
            permissions = self._permissions
            self._permissions = NO_PERMISSIONS
        if permissions.term == 0:
            return
        body = job_records.OwnerReleased(permissions.term, self._host_id)
        outcome = self._appender.append([body], APPEND_TIMEOUT_MS)
        logs.event(
            _logger,
            "released",
            zone=self._zone,
            term=permissions.term,
            known=outcome.is_ok(),
        )

    def _is_own(self, claim: job_state.Claim) -> bool:
        return claim.host == self._host_id and not claim.released

    def _observe(self) -> None:
        """Records new claims and renewals, and updates the permissions."""
        now_ms = self._clock.monotonic_ms()
        claims = self._fold.claims()
        with self._lock:
            for claim in claims:
                own = claim.host == self._host_id
                superseded = own and claim is not claims[-1]
                seen = (claim.touched_offset, claim.released, superseded)
                if self._seen_claims.get(claim.term) == seen:
                    continue
                self._seen_claims[claim.term] = seen
                self._claim_changed_ms = now_ms
                if superseded or not own:
                    self._predecessor_tasks_until_ms[claim.term] = (
                        now_ms + max_task_lifetime_ms(claim)
                    )
            self._forget_expired(claims, now_ms)
            self._update_permissions(claims[-1] if claims else None)

    def _forget_expired(
        self, claims: tuple[job_state.Claim, ...], now_ms: int
    ) -> None:
        known = {claim.term for claim in claims}
        for term in [term for term in self._seen_claims if term not in known]:
            del self._seen_claims[term]
        expired = [
            term
            for term, until_ms in self._predecessor_tasks_until_ms.items()
            if until_ms <= now_ms
        ]
        for term in expired:
            del self._predecessor_tasks_until_ms[term]

    def _update_permissions(self, claim: job_state.Claim | None) -> None:
        if claim is None or not self._is_own(claim) or self._stopping.is_set():
            self._permissions = NO_PERMISSIONS
            return
        if claim.touched_offset > self._own_touched_offset:
            self._own_touched_offset = claim.touched_offset
            # Any of the unconfirmed records may be the one that was folded.
            if self._first_unconfirmed_sent_ms is not None:
                self._proof_ms = max(
                    self._proof_ms, self._first_unconfirmed_sent_ms
                )
                self._first_unconfirmed_sent_ms = None
        bounds = claim.bounds
        renew_ms = max(bounds.autonomy_ms, bounds.claim_ms)
        is_new_term = self._permissions.term != claim.term
        self._permissions = OwnerPermissions(
            term=claim.term,
            bounds=bounds,
            command_until_ms=self._proof_ms + bounds.claim_ms,
            renew_until_ms=self._proof_ms + renew_ms,
        )
        if is_new_term:
            self._journal_event(
                "owner-gained", f"claim {claim.term} won", claim.offset
            )

    def _may_claim(
        self, claim: job_state.Claim | None, age_ms: int, now_ms: int
    ) -> bool:
        if self._stopping.is_set():
            return False
        # The first successor would have to wait out the default bounds of a
        # claim made before the zone's limits are known.
        if self._zone not in self._source.current().zones:
            return False
        bounds = self._configured_bounds()
        if age_ms > bounds.claim_ms // 2:
            return False
        waited_ms = now_ms - self._claim_changed_ms - self._jitter_ms
        if claim is None or claim.released or claim.host == self._host_id:
            return waited_ms >= 0
        expires_after_ms = claim.bounds.claim_ms + claim.bounds.drift_margin_ms
        return waited_ms >= expires_after_ms

    def _configured_bounds(self) -> job_records.ClaimBounds:
        configuration = self._source.current()
        limits = configuration.limits
        zone = configuration.zones.get(self._zone)
        autonomy_ms = zone.autonomy_ms if zone else DEFAULT_AUTONOMY_MS
        return job_records.ClaimBounds(
            claim_ms=limits.claim_ms,
            lease_ms=limits.lease_ms,
            autonomy_ms=autonomy_ms,
            command_ttl_ms=limits.command_ttl_ms,
            drift_margin_ms=limits.drift_margin_ms,
        )

    def _claim(self, replaced_term: int) -> None:
        body = job_records.OwnerClaimed(
            term=replaced_term + 1,
            replaces=replaced_term,
            host=self._host_id,
            bounds=self._configured_bounds(),
        )
        self._append(body)
        with self._lock:
            # After a lost race, wait until the winner's claim expires.
            self._claim_changed_ms = self._clock.monotonic_ms()
            lost = self._permissions.term != body.term
        if lost:
            self._metrics.count(
                metrics_module.Counter.JOB_EVENTS, "claim-not-won"
            )

    def _renew_if_due(self, claim: job_state.Claim, now_ms: int) -> None:
        interval_ms = claim.bounds.claim_ms // RENEWALS_PER_CLAIM
        last_ms = self._renewal_sent_ms
        if last_ms is not None and now_ms - last_ms < interval_ms:
            return
        if self._stopping.is_set():
            return
        if claim.bounds != self._configured_bounds():
            # The bounds of a term never change; new bounds need a new term.
            self._claim(claim.term)
            return
        self._append(job_records.OwnerRenewed(claim.term, self._host_id))

    def _append(
        self, body: job_records.OwnerClaimed | job_records.OwnerRenewed
    ) -> None:
        """Appends a record; once folded, it proves the claim."""
        sent_ms = self._clock.monotonic_ms()
        self._renewal_sent_ms = sent_ms
        outcome = self._appender.append([body], APPEND_TIMEOUT_MS)
        match outcome:
            case result.Ok(appended):
                folded = self._follower.wait_for(
                    appended.offset, APPEND_TIMEOUT_MS
                )
                self._record_outcome(sent_ms, folded, appended.offset)
            case result.Err(streams.AppendUnknown()):
                self._record_outcome(sent_ms, False, -1)
            case result.Err(streams.NotAccepted(detail)):
                logs.warning(
                    _logger, "claim-not-kept", zone=self._zone, detail=detail
                )
        self._observe()

    def _record_outcome(self, sent_ms: int, folded: bool, offset: int) -> None:
        claims = self._fold.claims()
        with self._lock:
            if not folded:
                if self._first_unconfirmed_sent_ms is None:
                    self._first_unconfirmed_sent_ms = sent_ms
                return
            updates_claim = claims and claims[-1].touched_offset >= offset
            if updates_claim and self._is_own(claims[-1]):
                self._proof_ms = max(self._proof_ms, sent_ms)
                self._own_touched_offset = claims[-1].touched_offset
                self._first_unconfirmed_sent_ms = None

    def _journal_event(self, reason: str, sentence: str, offset: int) -> None:
        logs.event(_logger, reason, zone=self._zone, detail=sentence)
        self._metrics.count(metrics_module.Counter.JOB_EVENTS, reason)
        self._journal.record(
            reasons.Subject.WORKER, self._zone, reason, sentence, offset
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                delay_ms = self.step()
            except Exception:
                logs.exception(
                    _logger, "ownership-step-failed", zone=self._zone
                )
                delay_ms = STEP_INTERVAL_MS
            self._stopping.wait(delay_ms / 1_000)
