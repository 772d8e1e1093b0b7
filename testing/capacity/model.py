"""Costs of each role at the design size, from measured slopes."""

from __future__ import annotations

import attrs

from comfreylatch._process import journal
from comfreylatch._process import settings
from comfreylatch._process.batch import attempt_tracker
from comfreylatch._process.batch import ownership
from comfreylatch._process.batch import zone_owner
from comfreylatch._request import dispatch_guard
from comfreylatch._version import configuration_fold
from comfreylatch._version import objects
from comfreylatch._version import zone_fold
from testing.capacity import batch_slopes
from testing.capacity import configuration_slopes
from testing.capacity import costs
from testing.capacity import owner_slopes
from testing.capacity import process_slopes
from testing.capacity import wire_slopes

MS_PER_S = 1_000
KIB = 1_024
# Frames and acknowledgements of one call on a persistent connection, and of a
# call with a connection of its own, including opening and closing it.
KEPT_CALL_OVERHEAD_BYTES = 4 * 66
NEW_CALL_OVERHEAD_BYTES = 10 * 66
HTTP_HEAD_BYTES = 350
# Per record in the answer to a read: its offset, key names and quotes.
READ_RECORD_OVERHEAD_BYTES = 50
CONFIG_READ_WAIT_MS = 2_000
LEASE_RENEWALS = 3


@attrs.frozen
class Slopes:
    """All measured slopes."""

    process: process_slopes.ProcessSlopes
    configuration: configuration_slopes.ConfigurationSlopes
    batch: batch_slopes.BatchSlopes
    owner: owner_slopes.OwnerSlopes
    wire: wire_slopes.WireSlopes


@attrs.frozen
class Model:
    """Costs at a design size, computed from the slopes."""

    size: costs.DesignSize
    slopes: Slopes

    def roles(self) -> tuple[costs.RoleCost, ...]:
        """Costs of all roles, each with everything that its process does."""
        base = (
            self.process(),
            self.configuration(),
            self.journal(),
            self.histograms(),
        )
        all_heartbeats = self.heartbeats(
            self.size.seats - 1, "every other seat"
        )
        zone_heartbeats = self.heartbeats(
            self.size.seats_per_zone - 1, "the zone's other seats"
        )
        followed_stream = self.zone_stream(is_owner=False)
        owned_stream = self.zone_stream(is_owner=True)
        front = (*base, all_heartbeats, self.routing(), self.dispatch_marks())
        return (
            costs.RoleCost(
                costs.Role.FRONT,
                "yes; every host is also a standby",
                (*front, followed_stream),
            ),
            costs.RoleCost(
                costs.Role.OWNER,
                "yes; it is a front, too",
                (
                    *front,
                    owned_stream,
                    self.scheduling_state(),
                    self.worker_exchanges(),
                    self.starts(),
                    self.steps(),
                ),
            ),
            costs.RoleCost(
                costs.Role.STANDBY,
                "yes",
                (*base, all_heartbeats, followed_stream),
            ),
            costs.RoleCost(
                costs.Role.FOLLOWER,
                "no: every host follows its zone's stream",
                (*base, zone_heartbeats),
            ),
            costs.RoleCost(
                costs.Role.RELAY,
                "no: heartbeats go to every seat of every zone",
                (
                    *base,
                    zone_heartbeats,
                    self.heartbeats(
                        self.size.zones - 1, "one seat of each other zone"
                    ),
                ),
            ),
        )

    def process(self) -> costs.MechanismCost:
        """Cost of interpreter and libraries."""
        process = self.slopes.process
        total_kib = process.interpreter_kib + process.libraries_kib
        return costs.MechanismCost(
            "interpreter and libraries", state_kib=total_kib
        )

    def configuration(self) -> costs.MechanismCost:
        """Cost of following and folding the configuration stream."""
        size = self.size
        slopes = self.slopes.configuration
        state_bytes = slopes.endpoint_bytes.at(size.endpoints)
        state_bytes += slopes.team_bytes.per_unit * size.teams
        kept_tickets = min(configuration_fold.MAX_TICKETS, size.changes_per_day)
        state_bytes += slopes.ticket_bytes.per_unit * kept_tickets
        empty_reads = MS_PER_S / CONFIG_READ_WAIT_MS
        reads = empty_reads + size.changes_per_s
        change_us = slopes.change_us.at(size.endpoints)
        read_bytes = HTTP_HEAD_BYTES + KEPT_CALL_OVERHEAD_BYTES
        record_bytes = slopes.change_record_bytes + READ_RECORD_OVERHEAD_BYTES
        # One copy is read from the log, another is pushed by its writer.
        copies = 2
        return costs.MechanismCost(
            "configuration: fold of the stream `config`",
            state_kib=state_bytes / KIB,
            messages_per_s=reads + size.changes_per_s,
            cpu_us_per_s=reads * self.slopes.wire.log_read_us.at(1)
            + size.changes_per_s * change_us,
            bytes_per_s=reads * read_bytes
            + copies * size.changes_per_s * record_bytes,
        )

    def journal(self) -> costs.MechanismCost:
        """Cost of the journal at its maximum length."""
        slope = self.slopes.process.decision_bytes
        return costs.MechanismCost(
            f"journal of {journal.MAX_DECISIONS} decisions",
            state_kib=slope.at(journal.MAX_DECISIONS) / KIB,
        )

    def histograms(self) -> costs.MechanismCost:
        """Cost of latency histograms: two for each service and a few others."""
        labels = 2 * self.size.services + 10
        slope = self.slopes.process.histogram_bytes
        return costs.MechanismCost(
            f"{labels} latency histograms", state_kib=slope.at(labels) / KIB
        )

    def routing(self) -> costs.MechanismCost:
        """Cost of shares and statistics of the zone's endpoints."""
        endpoints = self.size.endpoints / self.size.zones
        slope = self.slopes.configuration.routed_endpoint_bytes
        return costs.MechanismCost(
            "routing: shares and statistics of the zone's endpoints",
            state_kib=slope.at(endpoints) / KIB,
        )

    def dispatch_marks(self) -> costs.MechanismCost:
        """Cost of the marks of non-idempotent requests on this host.

        Their calls belong to the requests, not to the control traffic.
        """
        keep_s = settings.RoutingSettings().mark_keep_ms / MS_PER_S
        held_marks = (
            self.size.host_non_idempotent_per_s
            * dispatch_guard.HOLDERS_PER_ID
            * keep_s
        )
        slope = self.slopes.process.mark_bytes
        return costs.MechanismCost(
            "marks of non-idempotent requests",
            state_kib=slope.at(held_marks) / KIB,
        )

    def heartbeats(self, peers: int, description: str) -> costs.MechanismCost:
        """Cost of sending and answering heartbeats of a number of peers."""
        heartbeats_per_s = (
            peers * MS_PER_S / settings.TimingSettings().heartbeat_ms
        )
        wire = self.slopes.wire
        services = self.size.services
        cpu_us = wire.heartbeat_sent_us.at(services)
        cpu_us += wire.heartbeat_answered_us.at(services)
        size = wire.heartbeat_bytes.at(services) + KEPT_CALL_OVERHEAD_BYTES
        # Each peer has one thread that sends to it and one that answers it.
        threads_kib = 2 * peers * self.slopes.process.thread_kib.per_unit
        return costs.MechanismCost(
            f"heartbeats with {description} ({peers})",
            state_kib=threads_kib,
            messages_per_s=2 * heartbeats_per_s,
            cpu_us_per_s=heartbeats_per_s * cpu_us,
            bytes_per_s=2 * heartbeats_per_s * size,
        )

    def zone_records_per_s(self) -> dict[str, float]:
        """Records per second on one zone's stream at the peak, by kind."""
        starts = self.size.zone_starts_per_s
        interval_s = attempt_tracker.CHECKPOINT_INTERVAL_MS / MS_PER_S
        return {
            "admissions": starts,
            "assignments": starts,
            "checkpoints": self.size.zone_tasks / interval_s,
            "ends": starts,
            "renewals": self.renewals_per_s(),
        }

    def renewals_per_s(self) -> float:
        """Renewals per second of one zone's claim."""
        claim_ms = objects.Limits().claim_ms
        return ownership.RENEWALS_PER_CLAIM * MS_PER_S / claim_ms

    def zone_appends_per_s(self) -> float:
        """Appends per second to one zone's stream at the peak.

        The owner's loop appends at most twice per step: ends and checkpoints
        separately from assignments. At worst each admission is an append.
        """
        steps = MS_PER_S / zone_owner.STEP_INTERVAL_MS
        return 2 * steps + self.size.zone_starts_per_s + self.renewals_per_s()

    def zone_bytes_per_s(self) -> float:
        """Payload bytes per second on one zone's stream at the peak."""
        batch = self.slopes.batch
        rates = self.zone_records_per_s()
        return (
            rates["admissions"] * batch.admit_record_bytes
            + rates["assignments"] * batch.assign_record_bytes
            + rates["checkpoints"] * batch.checkpoint_record_bytes
            + rates["ends"] * batch.end_record_bytes
            + rates["renewals"] * batch.end_record_bytes
        )

    def zone_stream(self, is_owner: bool) -> costs.MechanismCost:
        """Cost of following and folding a zone's stream, and of writing it."""
        size = self.size
        batch = self.slopes.batch
        wire = self.slopes.wire
        records = sum(self.zone_records_per_s().values())
        appends = self.zone_appends_per_s()
        # Each append completes one waiting read.
        reads = appends
        state_bytes = batch.running_bytes.at(size.zone_tasks)
        queued = size.zone_starts_per_s * size.urgent_queue_s
        state_bytes += batch.queued_bytes.per_unit * queued
        state_bytes += batch.ended_bytes.per_unit * self._retained_ended_jobs()
        cpu_us = records * batch.record_us.at(size.zone_tasks)
        cpu_us += reads * wire.log_read_us.at(records / reads)
        overhead = records * READ_RECORD_OVERHEAD_BYTES
        overhead += reads * (HTTP_HEAD_BYTES + KEPT_CALL_OVERHEAD_BYTES)
        traffic_bytes = self.zone_bytes_per_s() + overhead
        messages = reads
        if is_owner:
            cpu_us += appends * wire.log_append_us.at(records / appends)
            traffic_bytes += self.zone_bytes_per_s()
            traffic_bytes += appends * (
                HTTP_HEAD_BYTES + KEPT_CALL_OVERHEAD_BYTES
            )
            messages += appends
        written = ", followed and written" if is_owner else ", followed"
        return costs.MechanismCost(
            f"jobs: fold of the stream `zone.NAME`{written}",
            state_kib=state_bytes / KIB,
            messages_per_s=messages,
            cpu_us_per_s=cpu_us,
            bytes_per_s=traffic_bytes,
        )

    def _retained_ended_jobs(self) -> float:
        """Number of ended jobs that the fold still keeps in full."""
        rates = self.zone_records_per_s()
        share = rates["ends"] / sum(rates.values())
        return zone_fold.RETIRE_AFTER_RECORDS * share

    def scheduling_state(self) -> costs.MechanismCost:
        """Cost of the owner's queue and ledgers."""
        queued = self.size.zone_starts_per_s * self.size.urgent_queue_s
        jobs = self.size.zone_tasks + queued
        return costs.MechanismCost(
            "placement: queue and ledgers",
            state_kib=self.slopes.batch.scheduling_state_bytes.at(jobs) / KIB,
        )

    def worker_exchanges(self) -> costs.MechanismCost:
        """Cost of exchanges with the zone's workers, with a thread for each."""
        size = self.size
        wire = self.slopes.wire
        renewals = size.zone_workers * LEASE_RENEWALS * MS_PER_S
        renewals /= objects.Limits().lease_ms
        # By then the last report is stale, so a new one is requested before a
        # lease or a command can be sent. Each end is polled for when it is
        # expected.
        exchanges = 2 * (renewals + size.zone_starts_per_s)
        exchanges += size.zone_starts_per_s
        tasks = size.tasks_per_worker
        size_bytes = wire.exchange_bytes.at(tasks) + HTTP_HEAD_BYTES
        process_us = self.slopes.owner.report_us.at(tasks)
        threads_kib = (
            size.zone_workers * self.slopes.process.thread_kib.per_unit
        )
        return costs.MechanismCost(
            f"leases and reports of {size.zone_workers:.0f} workers",
            state_kib=threads_kib,
            messages_per_s=exchanges,
            cpu_us_per_s=exchanges * (wire.exchange_us.at(tasks) + process_us),
            bytes_per_s=exchanges * (size_bytes + NEW_CALL_OVERHEAD_BYTES),
        )

    def starts(self) -> costs.MechanismCost:
        """Cost of decisions on starts."""
        starts = self.size.zone_starts_per_s
        start_us = self.slopes.batch.start_us.at(self.size.zone_workers)
        return costs.MechanismCost(
            "placement: starts", cpu_us_per_s=starts * start_us
        )

    def steps(self) -> costs.MechanismCost:
        """Cost of the owner's loop when there is nothing to decide."""
        step_us = self.slopes.owner.step_us.at(self.size.zone_workers)
        steps = MS_PER_S / zone_owner.STEP_INTERVAL_MS
        return costs.MechanismCost("owner's loop", cpu_us_per_s=steps * step_us)


def measure() -> Slopes:
    """Measures all slopes."""
    return Slopes(
        process=process_slopes.measure(),
        configuration=configuration_slopes.measure(),
        batch=batch_slopes.measure(),
        owner=owner_slopes.measure(),
        wire=wire_slopes.measure(),
    )
