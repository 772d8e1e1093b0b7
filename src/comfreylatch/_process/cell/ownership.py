"""Elects the owner of a cell and runs the owner on the host that wins.

The owner writes a heartbeat to the topic of jobs. A host that reads the topic
without errors, but has seen no heartbeat for OWNER_TIMEOUT_MS, or longer while
the store is slow, appends a claim at the end offset of the topic of claims,
where one append at most succeeds. The claim's offset gives the fencing token,
by which the store and the workers refuse the previous owner.
"""

from __future__ import annotations

from collections.abc import Callable
import queue
import threading
import time
from typing import final

import attrs
import logbook
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import store as store_port
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import events
from comfreylatch._process.cell import fenced_writer as fenced_writer_module
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import job_retention
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import owner as owner_module
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import specs
from comfreylatch._process.cell import takeover
from comfreylatch._process.cell.explaining import answers

# Time for which most workers must be unreachable before the owner releases the
# cell.
ISOLATION_TIMEOUT_MS = 900
# Interval between two checks of whether to claim the cell.
CHECK_INTERVAL_MS = 40
# Pause between two reads of the topic of jobs on a host that doesn't own the
# cell. It saves calls to the store; a question of a caller ends it.
STANDBY_READ_PAUSE_MS = 400
# How long a host waits for a current view before it claims a silent cell.
CLAIM_REFRESH_TIMEOUT_MS = 300
CLAIM_TIMEOUT_MS = 800
# How long a host looks for the outcome of a claim without an answer, and the
# pause between two looks.
OUTCOME_TIMEOUT_MS = 500
OUTCOME_PAUSE_MS = 60

_logger = logbook.Logger(__name__)


@final
class Ownership:
    """Watches the owner of a cell and takes over when it fails.

    Works on a thread of its own, which also runs the owner.

    Attributes:
        is_owner: Whether this host owns the cell and has taken over its state.
    """

    def __init__(
        self,
        deps: owner_dependencies.OwnerDependencies,
        host: claiming.HostIdentity,
    ) -> None:
        self._deps = deps
        self._host = host
        self._stopping = threading.Event()
        self._finished = threading.Event()
        self._started_ms = deps.clock.monotonic_ms()
        self._isolated_since_ms = 0
        self._isolated_ms: int | None = None
        self._key = f"cell/{deps.cell}"
        self._other_claim_offset = -1
        self._other_claim_seen_ms = 0
        self._unanswered_offset = -1
        self.is_owner = False
        self._owner: owner_module.Owner | None = None

    def explain_placement(
        self, spec: specs.JobSpec, timeout_ms: int
    ) -> answers.PlacementExplanation | None:
        """Explains where a job would go.

        Returns:
            None on a host without the cell, or if its owner doesn't answer.
        """
        owner = self._owner
        if owner is None:
            return None
        given: queue.SimpleQueue[answers.PlacementExplanation | None] = (
            queue.SimpleQueue()
        )
        owner.post(events.PlacementAsked(spec, given.put))
        try:
            return given.get(timeout=timeout_ms / 1_000)
        except queue.Empty:
            return None

    def start(self) -> None:
        """Starts the thread that watches the owner."""
        self._deps.jobs_reader.pause_ms = STANDBY_READ_PAUSE_MS
        threading.Thread(
            target=self._watch,
            name=f"ownership-{self._deps.cell}",
            daemon=True,
        ).start()

    def stop(self, timeout_ms: int) -> None:
        """Releases the cell, if this host owns it, and stops claiming it."""
        self._stopping.set()
        self._finished.wait(timeout_ms / 1_000)

    def _watch(self) -> None:
        try:
            while not self._stopping.wait(CHECK_INTERVAL_MS / 1_000):
                try:
                    self._check_owner()
                except Exception:
                    # This host has to go on watching the cell.
                    logs.exception(
                        _logger, "watch-failed", cell=self._deps.cell
                    )
        finally:
            self._finished.set()

    def _check_owner(self) -> None:
        deps = self._deps
        view = self._claim_view()
        reason = claiming.reason_to_claim(view, self._host)
        if reason is reasons.ClaimReason.OWNER_SILENT:
            # A heartbeat may have been written since the last read.
            deps.jobs_reader.refresh(CLAIM_REFRESH_TIMEOUT_MS)
            view = self._claim_view()
            reason = claiming.reason_to_claim(view, self._host)
        if reason is None:
            return
        token = self._try_claim(reason, view)
        if token is None:
            return
        predecessor = (
            view.last_heartbeat.heartbeat if view.last_heartbeat else None
        )
        try:
            self._run_owner(token, predecessor)
        except Exception:
            logs.exception(_logger, "owner-failed", cell=deps.cell, token=token)
        finally:
            deps.replica.listen(None)
            self.is_owner = False
            self._owner = None
            deps.jobs_reader.pause_ms = STANDBY_READ_PAUSE_MS

    def _claim_view(self) -> claiming.ClaimView:
        deps = self._deps
        return claiming.ClaimView(
            now_ms=deps.clock.monotonic_ms(),
            view_age_ms=deps.jobs_reader.age_ms,
            reachable_ms=deps.jobs_reader.reachable_ms,
            last_heartbeat=deps.replica.last_heartbeat,
            started_ms=self._started_ms,
            isolated_ms=self._isolated_ms,
            slow_ms=deps.jobs_reader.round_trips.slow_ms,
        )

    def _try_claim(
        self, reason: reasons.ClaimReason, view: claiming.ClaimView
    ) -> int | None:
        """Tries to claim the cell; returns the fencing token."""
        deps = self._deps
        if self._is_other_claim_recent():
            return None
        claims = self._read_claims()
        if claims is None:
            return None
        newest = _find_newest(claims, self._key)
        if newest is not None and newest.offset >= self._seen_token():
            if self._is_unanswered(newest):
                return self._take_token(newest.offset)
            self._note_other_claim(newest)
            if self._is_other_claim_recent():
                return None
        # The claims were read after the view was taken. A heartbeat that
        # arrived in between may be from the winner of the newest claim.
        if claiming.is_outdated(view, deps.replica.last_heartbeat):
            return None
        # The call may have taken long, or shown that the store is slow.
        if claiming.reason_to_claim(self._claim_view(), self._host) is None:
            return None
        if self._stopping.is_set():
            return None
        return self._append_claim(reason, claims.end_offset)

    def _append_claim(
        self, reason: reasons.ClaimReason, at_offset: int
    ) -> int | None:
        deps = self._deps
        claim = records.ClaimRecord(
            deps.cell, self._host.name, self._host.boot, self._host.zone
        )
        outcome = deps.store.append(
            records.CLAIMS_TOPIC,
            records.CLAIMS_PARTITION,
            (store_port.NewRecord(self._key, records.encode(claim)),),
            at_offset=at_offset,
            timeout_ms=CLAIM_TIMEOUT_MS,
        )
        logs.event(
            _logger,
            "claim",
            cell=deps.cell,
            reason=reason,
            at_offset=at_offset,
            outcome=outcome,
        )
        deps.metrics.count(metrics_module.Counter.CLAIMS, reason)
        match outcome:
            case result.Ok(offset):
                return self._take_token(offset)
            case result.Err(store_port.StoreAnswerLost(_)):
                return self._await_outcome(at_offset)
        return None

    def _await_outcome(self, at_offset: int) -> int | None:
        """Waits until an unanswered claim is decided; returns its token.

        The store may carry it out seconds later, in the order of the claims. A
        claim that isn't decided in time is looked for at the next check.
        """
        self._unanswered_offset = at_offset
        clock = self._deps.clock
        wait_ms = (
            OUTCOME_TIMEOUT_MS + self._deps.jobs_reader.round_trips.slow_ms
        )
        deadline_ms = clock.monotonic_ms() + wait_ms
        while clock.monotonic_ms() < deadline_ms:
            claims = self._read_claims()
            if claims is not None and claims.end_offset > at_offset:
                newest = _find_newest(claims, self._key)
                if newest is not None and self._is_unanswered(newest):
                    return self._take_token(at_offset)
                return None
            time.sleep(OUTCOME_PAUSE_MS / 1_000)
        return None

    def _read_claims(self) -> store_port.StoreBatch | None:
        """Reads the newest claims; None if the store doesn't answer."""
        clock = self._deps.clock
        sent_ms = clock.monotonic_ms()
        match self._deps.store.newest(
            records.CLAIMS_TOPIC, records.CLAIMS_PARTITION
        ):
            case result.Ok(claims):
                elapsed_ms = clock.monotonic_ms() - sent_ms
                self._deps.jobs_reader.round_trips.add(elapsed_ms)
                return claims
            case result.Err(_):
                return None

    def _seen_token(self) -> int:
        """Token of the newest heartbeat; a claim's is its offset plus one."""
        observed = self._deps.replica.last_heartbeat
        return observed.heartbeat.token if observed else 0

    def _is_unanswered(self, record: store_port.StoredRecord) -> bool:
        """Whether it is this process's claim whose answer was lost."""
        claim = _decode_claim(record)
        return (
            record.offset == self._unanswered_offset
            and claim is not None
            and claim.boot == self._host.boot
        )

    def _take_token(self, claim_offset: int) -> int:
        """Returns the token of a claim, which is then never used again."""
        self._unanswered_offset = -1
        return claim_offset + 1

    def _note_other_claim(self, record: store_port.StoredRecord) -> None:
        """Notes when another host's claim was first seen."""
        claim = _decode_claim(record)
        if claim is not None and claim.host == self._host.name:
            self._other_claim_offset = -1
        elif record.offset != self._other_claim_offset:
            self._other_claim_offset = record.offset
            self._other_claim_seen_ms = self._deps.clock.monotonic_ms()

    def _is_other_claim_recent(self) -> bool:
        """Whether another claimant still has time for its first heartbeat."""
        if self._other_claim_offset < self._seen_token():
            return False
        age_ms = self._deps.clock.monotonic_ms() - self._other_claim_seen_ms
        slow_ms = self._deps.jobs_reader.round_trips.slow_ms
        return age_ms < claiming.OWNER_TIMEOUT_MS + slow_ms

    def _run_owner(
        self, token: int, predecessor: records.HeartbeatRecord | None
    ) -> None:
        deps = self._deps
        heartbeat = records.HeartbeatRecord(
            self._host.name,
            self._host.boot,
            token,
            zone=self._host.zone,
            cpu_cores=self._host.cpu_cores,
            caller_address=self._host.caller_address,
            # Until the takeover shows who owned the cell before.
            earlier_leases_ms=lease_ends.longest_after_heartbeat_ms(
                deps.lease_ms
            ),
        )
        post_functions: list[Callable[[events.Event], None]] = []

        def on_fenced(detail: str) -> None:
            for post in post_functions:
                post(events.Fenced(detail))

        writer = fenced_writer_module.FencedWriter(
            deps.store,
            deps.cell,
            heartbeat,
            on_fenced,
            deps.clock,
            deps.jobs_reader.round_trips,
            deps.store_limits,
        )
        if self._stopping.is_set():
            # Without a takeover: entering starts the append, leaving waits.
            self._end_tenure(
                writer,
                heartbeat,
                reasons.OwnershipEnd.STOPPING,
                self._untouched_leases(token),
            )
            with writer:
                return
        with writer:
            recovered = takeover.take_over(
                deps, self._host, token, writer, predecessor
            )
            if recovered is None:
                return
            writer.note_earlier_leases(recovered.leases_end_ms)
            if self._stopping.is_set():
                self._end_tenure(
                    writer,
                    heartbeat,
                    reasons.OwnershipEnd.STOPPING,
                    recovered.remaining_leases(deps.clock.monotonic_ms()),
                )
                return
            with owner_module.Owner(
                recovered, writer, deps, self._host.name
            ) as owner:
                post_functions.append(owner.post)
                for entry in deps.replica.listen(owner.post_change):
                    if entry.spec is None:
                        continue
                    owner.post_change(job_replica.JobAdded(entry.spec))
                    if entry.is_cancelled:
                        owner.post_change(
                            job_replica.JobCancelled(entry.spec.job_id)
                        )
                self.is_owner = True
                self._owner = owner
                retention = job_retention.JobRetention(
                    deps.replica, writer, deps.keep_ended_ms, deps.clock
                )
                deps.jobs_reader.pause_ms = 0
                reason = self._run_until_stopped(owner, heartbeat, retention)
                # Renewals end before what is left of the leases is stated.
                writer.stop_acting()
                leases = owner.remaining_leases()
                self._end_tenure(writer, heartbeat, reason, leases)

    def _untouched_leases(self, token: int) -> records.RemainingLeases | None:
        """How long leases last if this host has renewed none of them.

        None if an owner may have acted whose release this host has not read.
        """
        observed = self._deps.replica.last_heartbeat
        if (
            observed is None
            or observed.heartbeat.token != token - 1
            or not observed.heartbeat.is_released
        ):
            return None
        now_ms = self._deps.clock.monotonic_ms()
        return lease_ends.after_owner(
            observed, self._host.name, now_ms, self._deps.lease_ms
        ).remaining(now_ms)

    def _run_until_stopped(
        self,
        owner: owner_module.Owner,
        heartbeat: records.HeartbeatRecord,
        retention: job_retention.JobRetention,
    ) -> reasons.OwnershipEnd:
        def on_workers(
            entries: dict[str, cell_workers.WorkerEntry],
        ) -> None:
            owner.post(events.WorkersListed(entries))

        def must_stop() -> reasons.OwnershipEnd | None:
            retention.drop_expired()
            return self._reason_to_stop(owner, heartbeat)

        self._isolated_since_ms = 0
        with self._deps.follow_workers(on_workers) as reader:
            owner.follow_listing(lambda: reader.age_ms)
            return owner.run(must_stop)

    def _end_tenure(
        self,
        writer: fenced_writer_module.FencedWriter,
        heartbeat: records.HeartbeatRecord,
        reason: reasons.OwnershipEnd,
        leases: records.RemainingLeases | None,
    ) -> None:
        """Reports the end; releases the cell if this host gives it up.

        Args:
            writer: Writes the release.
            heartbeat: The host's heartbeat.
            reason: Why it ends.
            leases: How long leases on workers last from now on; None if that is
                not known.
        """
        deps = self._deps
        logs.event(
            _logger,
            "tenure-ended",
            cell=deps.cell,
            token=heartbeat.token,
            reason=reason,
        )
        deps.metrics.count(metrics_module.Counter.OWNERSHIPS_ENDED, reason)
        is_isolated = reason is reasons.OwnershipEnd.ISOLATED
        if is_isolated:
            self._isolated_ms = deps.clock.monotonic_ms()
        elif reason is not reasons.OwnershipEnd.STOPPING:
            return
        writer.release(
            attrs.evolve(
                heartbeat,
                is_released=True,
                is_isolated=is_isolated,
                leases=leases,
            )
        )

    def _reason_to_stop(
        self,
        owner: owner_module.Owner,
        heartbeat: records.HeartbeatRecord,
    ) -> reasons.OwnershipEnd | None:
        if self._stopping.is_set():
            return reasons.OwnershipEnd.STOPPING
        observed = self._deps.replica.last_heartbeat
        if observed and observed.heartbeat.token > heartbeat.token:
            return reasons.OwnershipEnd.SUPERSEDED
        now_ms = self._deps.clock.monotonic_ms()
        if not owner.is_isolated:
            self._isolated_since_ms = 0
        elif self._isolated_since_ms == 0:
            self._isolated_since_ms = now_ms
        elif now_ms - self._isolated_since_ms > ISOLATION_TIMEOUT_MS:
            return reasons.OwnershipEnd.ISOLATED
        return None


def _find_newest(
    claims: store_port.StoreBatch, key: str
) -> store_port.StoredRecord | None:
    """Returns the newest claim with a key."""
    for record in claims.records:
        if record.key == key and record.value is not None:
            return record
    return None


def _decode_claim(
    record: store_port.StoredRecord,
) -> records.ClaimRecord | None:
    """Decodes a claim; a malformed one is logged and names no claimant."""
    try:
        return records.decode(records.ClaimRecord, record.value or b"")
    except records.BadRecordError as error:
        logs.warning(
            _logger,
            "bad-record",
            key=record.key,
            offset=record.offset,
            detail=str(error),
        )
        return None
