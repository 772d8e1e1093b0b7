"""Hosts for the model of who owns a cell; without threads.

The owner, its table of workers, the ends of leases, the replica, its reader and
the decisions to claim are the real ones. What runs on threads, the writer and
the sessions with workers, is played step by step by the rules of the real one.
"""

from __future__ import annotations

from collections.abc import Callable
import queue
from typing import Any
from unittest import mock

import attrs
import result

from comfreylatch._ports import cell_workers
from comfreylatch._ports import store as store_port
from comfreylatch._process import metrics
from comfreylatch._process.cell import claiming
from comfreylatch._process.cell import events
from comfreylatch._process.cell import fenced_writer
from comfreylatch._process.cell import job_replica
from comfreylatch._process.cell import lease_ends
from comfreylatch._process.cell import owner as owner_module
from comfreylatch._process.cell import owner_dependencies
from comfreylatch._process.cell import ownership
from comfreylatch._process.cell import partition_reader
from comfreylatch._process.cell import reasons
from comfreylatch._process.cell import records
from comfreylatch._process.cell import recovered_state
from comfreylatch._process.cell import takeover
from comfreylatch._process.cell import worker_session
from comfreylatch._process.cell import worker_view
from comfreylatch._process.cell.carryover import delays
from tests.process.cell import ownership_world

LONGEST_LEASE_MS = int(
    ownership_world.LEASE_MS / (1 - worker_view.MAX_CLOCK_DRIFT)
)
POLL_MS = 10
# An owner may need this long before its first start, and after a hindrance.
SETTLING_MS = 1_000
# Longest time beside that, in all tenures together, for which a task has no run
# while nothing hinders its start.
START_BOUND_MS = 1_000
# Longest time between two reads of a host that is neither cut nor paused.
MAX_READ_GAP_MS = 1_000
# Longest time in which a host that is neither cut nor paused reads a release.
MAX_RELEASE_READ_MS = 500
# Longest time after a worker's restart for which runs on it may be in doubt.
RESTART_WAIT_MS = 2 * (
    delays.MAX_CALL_DELAY_MS
    + lease_ends.longest_lease_ms(ownership_world.MAX_LEASE_MS)
)
# Longest time between two ticks of a process that isn't paused.
MAX_TICK_MS = 300


class Process:
    """One process of a host: plays its steps until it is killed."""

    def __init__(self, world: ownership_world.World, name: str) -> None:
        self.world = world
        self.name = name
        self.is_alive = True
        self.paused_until_ms = 0

    def spawn(self, steps: ownership_world.Steps) -> None:
        """Plays steps, beside those that it plays already."""
        self.world.after(0, lambda: self._resume(steps, None))

    def _resume(self, steps: ownership_world.Steps, value: Any) -> None:
        if not self.is_alive:
            return
        if self.world.now_ms < self.paused_until_ms:
            self.world.at(
                self.paused_until_ms + self.world.rng.randint(0, 2),
                lambda: self._resume(steps, value),
            )
            return
        try:
            wait = steps.send(value)
        except StopIteration:
            return
        if isinstance(wait, int):
            self.world.after(wait, lambda: self._resume(steps, None))
        else:
            wait.on_done(lambda outcome: self._resume(steps, outcome))

    def pause(self, elapsed_ms: int) -> None:
        """Pauses all of its steps."""
        self.world.note(f"{self.name} pauses for {elapsed_ms} ms")
        self.paused_until_ms = self.world.now_ms + elapsed_ms

    def maybe_pause(self) -> ownership_world.Steps:
        """A step at which the process is paused at times."""
        if self.world.rng.random() < self.world.faults.pause:
            self.pause(self.world.rng.choice([50, 600, 2_000, 4_400, 9_000]))
            yield 0


class HostStore:
    """The store as one host reaches it, for calls that take one step."""

    def __init__(self, world: ownership_world.World, name: str) -> None:
        self._world = world
        self._name = name

    def newest(self, topic: str, partition: int) -> Any:
        """See `RecordStore.newest`."""
        if self._world.is_store_cut(self._name):
            return result.Err(store_port.StoreUnavailable("cut"))
        return self._world.store.newest(topic, partition)

    def read(
        self, topic: str, partition: int, from_offset: int, wait_ms: int
    ) -> Any:
        """See `RecordStore.read`; never waits."""
        del wait_ms
        if self._world.is_store_cut(self._name):
            return result.Err(store_port.StoreUnavailable("cut"))
        return self._world.store.read(topic, partition, from_offset, 0)

    def append(self, *arguments: Any, **options: Any) -> Any:
        """See `RecordStore.append`."""
        if self._world.is_store_cut(self._name):
            return result.Err(store_port.StoreUnavailable("cut"))
        lost = result.Err(store_port.StoreAnswerLost("no answer"))

        def carry_out() -> Any:
            return self._world.store.append(*arguments, **options)

        match self._world.fate():
            case "late":
                self._world.after(
                    self._world.rng.randint(300, 5_000), carry_out
                )
                return lost
            case "lost":
                return lost
            case "unanswered":
                carry_out()
                return lost
            case _:
                return carry_out()


class FetchedStore:
    """Hands the reader what its step has fetched from the store."""

    def __init__(self) -> None:
        self.answer: Any = None

    def newest(self, *_: Any) -> Any:
        """See `RecordStore.newest`."""
        return self.answer

    def read(self, *_: Any) -> Any:
        """See `RecordStore.read`."""
        return self.answer


class ReplayClock:
    """Shows an earlier time at the first reading, then the present."""

    def __init__(self, world: ownership_world.World, first_ms: int) -> None:
        self._world = world
        self._first_ms: int | None = first_ms

    def monotonic_ms(self) -> int:
        """See `Clock.monotonic_ms`."""
        first_ms, self._first_ms = self._first_ms, None
        return self._world.now_ms if first_ms is None else first_ms

    def wall_ms(self) -> int:
        """See `Clock.wall_ms`."""
        return self._world.now_ms


class ModelSession(worker_session.WorkerSession):  # type: ignore[misc]
    """The real session, with its two loops played step by step."""

    def __init__(
        self, entry: Any, process: Any, lease: Any, *rest: Any
    ) -> None:
        self._process: HostProcess = process
        self._may_renew_now = lease.may_renew
        self._replayed: list[Any] = []
        self._observed: list[Any] = []
        lease = attrs.evolve(
            lease, may_renew=lambda: self._observe(self._may_renew_now)
        )
        post, clock = rest
        super().__init__(entry, mock.Mock(), lease, post, self)
        self._real_clock = clock
        self._is_ordering = False

    def monotonic_ms(self) -> int:
        """Stands in for the clock, so that a pause can follow a reading."""
        return self._observe(self._real_clock.monotonic_ms)

    def _observe(self, read: Callable[[], Any]) -> Any:
        value = self._replayed.pop(0) if self._replayed else read()
        self._observed.append(value)
        return value

    def __enter__(self) -> ModelSession:
        self._process.spawn(self._holds())
        return self

    def _deadline_steps(self) -> ownership_world.Steps:
        """Computes a deadline, at times with a pause after its first check."""
        self._observed.clear()
        world = self._process.world
        if world.rng.random() < world.faults.check_pause:
            latest_ms = self._latest_deadline_ms
            self._deadline_ms()
            first = self._observed[:1]
            self._latest_deadline_ms = latest_ms
            if first:
                world.note(f"pause after the first check of {self._name}")
                self._process.pause(world.rng.choice([600, 2_000, 6_000]))
                yield 0
                self._replayed = first
        deadline_ms = self._deadline_ms()
        self._replayed.clear()
        return deadline_ms

    @property
    def _name(self) -> str:
        return f"{self._process.name}/{self._entry.worker_id}"

    def _send_order(self, order: Any, timeout_ms: int) -> Any:
        return self._process.world.order(
            self._process.name, self._entry, order, timeout_ms
        )

    def _holds(self) -> ownership_world.Steps:
        wait_ms = 0
        while not self._closing.is_set():
            wait_ms = yield from self._hold_steps(wait_ms)

    def _hold_steps(self, wait_ms: int) -> ownership_world.Steps:
        world = self._process.world
        sent_ms = world.now_ms
        deadline_ms = yield from self._deadline_steps()
        yield from self._process.maybe_pause()
        outcome = yield self._send_order(
            cell_workers.HoldOrder(
                self._lease.token,
                self._end_to_acknowledge(),
                deadline_ms,
                wait_ms,
            ),
            wait_ms + worker_session.HOLD_TIMEOUT_MS,
        )
        if self._closing.is_set():
            return 0
        received_ms = world.now_ms
        must_renew = not self._is_verified
        self._note_hold(outcome, received_ms)
        self._post(
            events.HoldReturned(
                self._entry.worker_id,
                self._entry.born_ms,
                sent_ms,
                received_ms,
                deadline_ms,
                outcome,
            )
        )
        if self._is_failing:
            yield worker_session.FAILED_HOLD_PAUSE_MS
            return 0
        is_recorded = yield from self._recording_steps(outcome.unwrap())
        if must_renew or not is_recorded:
            return 0
        return worker_session.HOLD_WAIT_MS

    def _recording_steps(self, answer: Any) -> ownership_world.Steps:
        last_end = answer.ended[-1].number if answer.ended else 0
        until_ms = self._process.world.now_ms + worker_session.RECORDING_WAIT_MS
        while self._process.world.now_ms < until_ms:
            if self._acknowledged_end >= last_end:
                return True
            if self._closing.is_set():
                return True
            yield POLL_MS
        return False

    def start(self, *arguments: Any) -> None:
        """See `WorkerSession.start`."""
        super().start(*arguments)
        self._play_orders()

    def stop(self, *arguments: Any) -> None:
        """See `WorkerSession.stop`."""
        super().stop(*arguments)
        self._play_orders()

    def _play_orders(self) -> None:
        if not self._is_ordering:
            self._is_ordering = True
            self._process.spawn(self._order_steps())

    def _order_steps(self) -> ownership_world.Steps:
        while not self._queue.empty():
            order = self._queue.get()
            if order is None or self._closing.is_set():
                return
            if isinstance(order, worker_session._Start):
                yield from self._start_steps(order)
            else:
                yield from self._stop_steps(order)
        self._is_ordering = False

    def _start_steps(self, order: Any) -> ownership_world.Steps:
        tries = 0
        sent_ms = self._process.world.now_ms
        outcome: Any = result.Err(cell_workers.OrderNotSent("abandoned"))
        while (
            tries < worker_session.MAX_START_ATTEMPTS
            and not self._closing.is_set()
        ):
            deadline_ms = yield from self._deadline_steps()
            if deadline_ms == 0 or not order.run.should_start:
                break
            yield from self._process.maybe_pause()
            tries += 1
            reading, try_sent_ms = self._reading, self._process.world.now_ms
            outcome = yield self._send_order(
                cell_workers.StartOrder(
                    order.run.task.name,
                    order.run.number,
                    order.payload,
                    deadline_ms,
                    self._lease.token,
                ),
                worker_session.ORDER_TIMEOUT_MS,
            )
            outcome = self._end_try(order.run, outcome, reading, try_sent_ms)
            match outcome:
                case result.Err(cell_workers.OrderUnanswered()):
                    continue
            break
        self._post(events.StartReturned(order.run, sent_ms, tries, outcome))

    def _stop_steps(self, order: Any) -> ownership_world.Steps:
        outcome = yield self._send_order(
            cell_workers.StopOrder(order.task, order.number, self._lease.token),
            worker_session.ORDER_TIMEOUT_MS,
        )
        self._post(
            events.StopReturned(self._entry.worker_id, order.run, outcome)
        )


class HostProcess(Process):
    """A process that watches the cell and owns it at times."""

    def __init__(
        self,
        world: ownership_world.World,
        name: str,
        boot: int,
        states_leases: bool,
    ) -> None:
        super().__init__(world, name)
        self.states_leases = states_leases
        self.started_ms = world.now_ms
        self.caught_up_ms = self._read_ms = world.now_ms
        self.owner: owner_module.Owner | None = None
        self.token = 0
        self.has_won_paused = False
        self.replica = job_replica.JobReplica(world.clock)
        self._fetched = FetchedStore()
        self._store = HostStore(world, name)
        self._reader = partition_reader.PartitionReader(
            self._fetched,
            records.JOBS_TOPIC,
            0,
            self.replica.apply,
            world.clock,
        )
        self.deps = owner_dependencies.OwnerDependencies(
            cell=0,
            store=self._store,
            replica=self.replica,
            jobs_reader=self._reader,
            connect=lambda _: self,
            follow_workers=mock.Mock(),
            lease_ms=ownership_world.LEASE_MS,
            max_lease_ms=ownership_world.MAX_LEASE_MS,
            keep_ended_ms=60_000,
            metrics=metrics.Metrics(),
            clock=world.clock,
        )
        self.identity = claiming.HostIdentity(name, f"{name}.{boot}", "z", 1.0)
        self.ownership = ownership.Ownership(self.deps, self.identity)
        self._awaited_offset: int | None = None
        self.ownership._await_outcome = self._note_unanswered
        self._reader.pause_ms = ownership.STANDBY_READ_PAUSE_MS
        version = "" if states_leases else " of an earlier version"
        world.note(f"{self.identity.boot} boots{version}")
        self.spawn(self._reads())
        self.spawn(self._watch())

    def stop(self) -> None:
        """Asks the process to stop, as SIGTERM does."""
        self.world.note(f"{self.identity.boot} is asked to stop")
        self.ownership._stopping.set()

    def kill(self) -> None:
        """Ends the process."""
        self.is_alive = False
        self.owner = None
        self.world.note(f"{self.identity.boot} ends")

    def _reads(self) -> ownership_world.Steps:
        while True:
            yield from self._read()
            if self._reader.pause_ms:
                yield self._reader.pause_ms
            else:
                yield POLL_MS

    def _read(self) -> ownership_world.Steps:
        offset = self._reader.next_offset
        if offset < 0:
            self.caught_up_ms = self.world.now_ms
            answer = self._store.newest(records.JOBS_TOPIC, 0)
        else:
            answer = self._store.read(records.JOBS_TOPIC, 0, offset, 0)
        if isinstance(answer, result.Err):
            yield 100
        yield self.world.rng.randint(1, 4)
        yield from self.maybe_pause()
        # Another step may have read on in the meantime.
        if offset == self._reader.next_offset:
            self._fetched.answer = answer
            self._reader._read_once(0)
            self._note_read(answer)

    def _note_read(self, answer: Any) -> None:
        """Notes when this host last caught up after a pause or a cut."""
        if isinstance(answer, result.Err):
            return
        if self.world.now_ms - self._read_ms > MAX_READ_GAP_MS:
            self.caught_up_ms = self.world.now_ms
        self._read_ms = self.world.now_ms

    def _watch(self) -> ownership_world.Steps:
        watcher = self.ownership
        while not watcher._stopping.is_set():
            yield ownership.CHECK_INTERVAL_MS
            view = watcher._claim_view()
            reason = claiming.reason_to_claim(view, self.identity)
            if reason is reasons.ClaimReason.OWNER_SILENT:
                yield from self._read()
                view = watcher._claim_view()
                reason = claiming.reason_to_claim(view, self.identity)
            if reason is None or watcher._stopping.is_set():
                continue
            yield from self.maybe_pause()
            self._awaited_offset = None
            token = watcher._try_claim(reason, view)
            yield self.world.rng.randint(2, 10)
            if self._awaited_offset is not None:
                token = yield from self._await_outcome(self._awaited_offset)
            if token is not None:
                yield from self._claim_pause()
                yield from self._own(token)
        self.kill()

    def _claim_pause(self) -> ownership_world.Steps:
        """Pauses between a claim that is won and what follows it."""
        pause_ms = self.world.faults.claim_pause_ms
        if pause_ms:
            self.world.faults.claim_pause_ms = 0
            self.world.note(f"{self.name} has won a claim")
            self.has_won_paused = True
            self.pause(pause_ms)
            yield 0

    def _note_unanswered(self, at_offset: int) -> None:
        self._awaited_offset = at_offset

    def _await_outcome(self, at_offset: int) -> ownership_world.Steps:
        """Plays `Ownership._await_outcome`."""
        watcher = self.ownership
        watcher._unanswered_offset = at_offset
        until_ms = (
            self.world.now_ms
            + ownership.OUTCOME_TIMEOUT_MS
            + self._reader.round_trips.slow_ms
        )
        while self.world.now_ms < until_ms:
            claims = watcher._read_claims()
            if claims is not None and claims.end_offset > at_offset:
                newest = ownership._find_newest(claims, watcher._key)
                if newest is not None and watcher._is_unanswered(newest):
                    return watcher._take_token(at_offset)
                return None
            yield ownership.OUTCOME_PAUSE_MS
        return None

    def _own(self, token: int) -> ownership_world.Steps:
        """Plays `Ownership._run_owner`."""
        self.world.note(f"{self.identity.boot} claims {token}")
        self.world.note_claim(
            token, self.name, max(self.started_ms, self.caught_up_ms)
        )
        heartbeat = records.HeartbeatRecord(
            self.name,
            self.identity.boot,
            token,
            zone="z",
            cpu_cores=1.0,
            earlier_leases_ms=lease_ends.longest_after_heartbeat_ms(
                ownership_world.LEASE_MS
            ),
        )
        if not self.states_leases:
            self.world.has_earlier_version_owned = True
            heartbeat = attrs.evolve(heartbeat, earlier_leases_ms=0)
        posts: list[Callable[[events.Event], None]] = []
        writer = fenced_writer.FencedWriter(
            self._store,
            0,
            heartbeat,
            lambda detail: [post(events.Fenced(detail)) for post in posts],
            self.world.clock,
            self._reader.round_trips,
        )
        if not self.states_leases:
            _play_earlier_version(writer)
        is_stopping = self.ownership._stopping.is_set()
        if is_stopping:
            self._end_tenure(
                writer,
                heartbeat,
                reasons.OwnershipEnd.STOPPING,
                self.ownership._untouched_leases(token),
            )
        done: list[bool] = []
        self.spawn(self._write(writer, done))
        if not is_stopping:
            yield from self._tenure(token, writer, heartbeat, posts)
        self.replica.listen(None)
        self.owner = None
        self._reader.pause_ms = ownership.STANDBY_READ_PAUSE_MS
        writer._is_closing = True
        until_ms = self.world.now_ms + fenced_writer.CLOSE_TIMEOUT_MS
        while not done and self.world.now_ms < until_ms:
            yield POLL_MS

    def _take_over(
        self, token: int, writer: Any, heartbeat: Any
    ) -> ownership_world.Steps:
        """Fences the previous owner and recovers its state."""
        started_ms = self.world.now_ms
        if (yield from self._append(writer, records.WORK_TOPIC, ())) is None:
            return None
        first = store_port.NewRecord(
            records.HEARTBEAT_KEY, writer._encode_heartbeat()
        )
        offset = yield from self._append(writer, records.JOBS_TOPIC, (first,))
        if offset is not None:
            writer._allow_appends()
        until_ms = self.world.now_ms + takeover.CATCH_UP_TIMEOUT_MS
        while offset is not None and self._reader.next_offset <= offset:
            if self.world.now_ms > until_ms:
                return None
            yield from self._read()
            yield POLL_MS
        yield from self.maybe_pause()
        fenced = mock.Mock(fence=lambda: offset)
        clock = ReplayClock(self.world, started_ms)
        recovered = takeover.take_over(
            attrs.evolve(self.deps, clock=clock),
            self.identity,
            token,
            fenced,
            None,
        )
        if recovered is not None and not self.states_leases:
            recovered = _as_earlier_version(recovered, started_ms)
        return recovered

    def _tenure(
        self, token: int, writer: Any, heartbeat: Any, posts: list[Any]
    ) -> ownership_world.Steps:
        recovered = yield from self._take_over(token, writer, heartbeat)
        if recovered is None:
            return
        known = recovered.known_workers
        ends = {
            w: k.release_after_ms - self.world.now_ms for w, k in known.items()
        }
        self.world.note(f"{self.name} owns as {token}: {ends}")
        began_ms = max(self.started_ms, self.caught_up_ms)
        self.world.claims[token] = ownership_world.Claim(self.name, began_ms)
        if self.states_leases:
            writer.note_earlier_leases(recovered.leases_end_ms)
            self.world.note_takeover(
                ownership_world.Takeover(
                    token, {w: k.release_after_ms for w, k in known.items()}
                )
            )
        if self.ownership._stopping.is_set():
            self._end_tenure(
                writer,
                heartbeat,
                reasons.OwnershipEnd.STOPPING,
                recovered.remaining_leases(self.world.now_ms),
            )
            return
        owner = owner_module.Owner(recovered, writer, self.deps, self.name)
        owner.__enter__()
        posts.append(owner.post)
        for entry in self.replica.listen(owner.post_change):
            if entry.spec is not None:
                owner.post_change(job_replica.JobAdded(entry.spec))

        def list_workers() -> None:
            if self.owner is not owner or not self.is_alive:
                return
            if self.world.is_store_cut(self.name):
                self.world.after(200, list_workers)
                return
            owner.post(events.WorkersListed(dict(self.world.listed)))

        self.world.on_listing[self.name] = list_workers
        owner.post(events.WorkersListed(dict(self.world.listed)))
        self._reader.pause_ms = 0
        self.owner, self.token = owner, token
        reason = yield from self._run(owner, heartbeat)
        self.world.note(f"{self.name} no longer owns as {token}: {reason}")
        writer.stop_acting()
        leases = owner.remaining_leases()
        self._end_tenure(writer, heartbeat, reason, leases)
        yield self.world.rng.randint(0, 40)
        if self.world.rng.random() < self.world.faults.release_pause:
            self.pause(self.world.rng.choice([600, 2_000]))
            yield 0
        owner.__exit__(None, None, None)

    def _end_tenure(
        self, writer: Any, heartbeat: Any, reason: Any, leases: Any
    ) -> None:
        """Ends the tenure; an earlier version states no leases."""
        stated = leases if self.states_leases else None
        self.ownership._end_tenure(writer, heartbeat, reason, stated)

    def _run(self, owner: Any, heartbeat: Any) -> ownership_world.Steps:
        watchdog = Watchdog(self)
        self.ownership._isolated_since_ms = 0
        while True:
            yield POLL_MS
            yield from self.maybe_pause()
            is_due = (
                self.world.now_ms - owner._last_tick_ms
                >= owner_module.TICK_INTERVAL_MS
            )
            if owner._events.empty() and not is_due:
                continue
            _handle_events(owner)
            reason = owner._stop_reason or self.ownership._reason_to_stop(
                owner, heartbeat
            )
            if reason is not None:
                return reason
            now_ms = self.world.now_ms
            if is_due:
                owner._last_tick_ms = now_ms
                owner._tick(now_ms)
                watchdog.check()
            owner._run_placement_pass(now_ms)
            owner._write_records()

    def _write(self, writer: Any, done: list[bool]) -> ownership_world.Steps:
        """Plays the writer's thread."""
        while True:
            while not writer._may_start():
                yield POLL_MS
            while not writer._is_due() and writer._until_heartbeat_s() > 0:
                yield POLL_MS
            pending = writer._pending
            writer._pending = fenced_writer._PendingRecords()
            is_last = writer._is_closing
            if writer._is_fenced or (is_last and pending.is_empty):
                break
            is_stored = yield from self._write_batch(writer, pending)
            if not is_stored or is_last:
                break
        done.append(True)

    def _write_batch(self, writer: Any, pending: Any) -> ownership_world.Steps:
        writer._add_due_heartbeat(pending)
        for topic, values in (
            (records.JOBS_TOPIC, pending.jobs),
            (records.WORK_TOPIC, pending.work),
        ):
            batch = tuple(
                store_port.NewRecord(key, value)
                for key, value in values.items()
            )
            if not batch:
                continue
            if (yield from self._append(writer, topic, batch)) is None:
                return False
        yield from self.maybe_pause()
        for callback in pending.on_stored:
            callback()
        return True

    def _append(
        self, writer: Any, topic: str, batch: tuple[Any, ...]
    ) -> ownership_world.Steps:
        """Plays `FencedWriter._append_until_known`."""
        token = writer._heartbeat.token
        producer = store_port.Producer(
            "cell-0", token, writer._sequences[topic]
        )
        tries = 0
        first_sent_ms = self.world.now_ms
        while not writer._is_fenced:
            tries += 1
            sent_ms = self.world.now_ms
            yield from self.maybe_pause()
            outcome = yield self.world.append(
                self.name,
                topic,
                batch,
                producer,
                max(
                    fenced_writer.APPEND_TIMEOUT.of_try(tries),
                    writer._round_trips.slow_ms,
                ),
            )
            match outcome:
                case result.Ok(offset):
                    self.world.check_stored(topic, offset, batch)
                    writer._note_stored(topic, batch, first_sent_ms, sent_ms)
                    return offset
                case result.Err(store_port.ProducerFenced(detail)):
                    writer._note_fenced(detail)
                    return None
                case result.Err(store_port.SequenceMismatch(sequence)):
                    if not writer._may_renumber(tries):
                        writer._note_fenced(f"sequence {sequence} expected")
                        return None
                    writer._sequences[topic] = sequence
                    producer = attrs.evolve(producer, sequence=sequence)
                    continue
            is_late = writer.append_age_ms > fenced_writer.CLOSE_TIMEOUT_MS
            if writer._is_closing and is_late:
                return None
            yield fenced_writer.RETRY_PAUSE_MS
        return None


class Watchdog:
    """Checks that owners start tasks once nothing hinders it."""

    def __init__(self, process: HostProcess) -> None:
        self._process = process
        self._world = process.world
        self._began_ms = self._checked_ms = self._world.now_ms

    def check(self) -> None:
        """Checks all tasks; called at each tick of the owner."""
        world = self._world
        if max(world.heartbeats, default=0) > self._process.token:
            return
        passed_ms = world.now_ms - self._checked_ms
        self._checked_ms = world.now_ms
        if passed_ms > MAX_TICK_MS or self._is_hindered():
            world.hindered_ms = world.now_ms
            world.unstarted_ms.clear()
        running = world.running()
        settled_ms = SETTLING_MS + max(self._began_ms, world.hindered_ms)
        for task in self._tasks():
            if task in running:
                world.unstarted_ms.pop(task, None)
            elif world.now_ms > settled_ms:
                waited_ms = world.unstarted_ms.get(task, 0) + passed_ms
                world.unstarted_ms[task] = waited_ms
                if waited_ms > START_BOUND_MS:
                    world.fail(f"{task} is not started for {waited_ms} ms")

    def _tasks(self) -> list[str]:
        replica = self._process.replica
        return [
            f"{entry.spec.job_id}.0.0.{index}"
            for entry in replica.listen(replica._listener)
            if entry.spec is not None
            if entry.spec.steps[0].is_lasting
            for index in range(entry.spec.steps[0].task_count)
        ]

    def _is_hindered(self) -> bool:
        name = self._process.name
        world = self._world
        if world.is_store_cut(name) or world.faults.append_ms > 50:
            return True
        if (
            world.now_ms - world.fault_ms < 1_000
            or world.faults.pause
            or world.faults.check_pause
        ):
            return True
        cut = [w for w in world.workers if world.is_cut(name, w)]
        if len(cut) == len(world.workers) or not world.has_spare_room:
            return True
        if cut and world.has_earlier_version_owned:
            # Waits for leases of earlier versions begin with each takeover.
            return True
        if any(
            world.now_ms - restarted_ms < RESTART_WAIT_MS
            for restarted_ms in world.restarted_ms.values()
        ):
            return True
        return any(world.now_ms < self._past_ms(w) for w in cut)

    def _past_ms(self, worker_id: str) -> int:
        """Returns when the last holder's lease must be over for the owner."""
        # Only an owner that has reached the worker may have renewed its lease.
        token = self._world.workers[worker_id].token
        holder = self._world.heartbeats.get(token)
        if holder is None or holder.token == self._process.token:
            return self._world.now_ms + 1
        since_ms = holder.last_ms
        # A release states what is left of the leases. After another end, all
        # of them may have been renewed.
        previous = holder
        for token in sorted(self._world.heartbeats):
            if holder.token < token <= self._process.token:
                owner = self._world.heartbeats[token]
                since_ms = self._after_hand_over(previous, owner, since_ms)
                previous = owner
        return since_ms + LONGEST_LEASE_MS + 1_000

    def _after_hand_over(
        self,
        previous: ownership_world.Heartbeats,
        owner: ownership_world.Heartbeats,
        since_ms: int,
    ) -> int:
        """Returns from when an owner counts the leases before it."""
        claim = self._world.claims[owner.token]
        if previous.is_released and previous.states_leases:
            # It counts from when it read the release.
            read_ms = max(
                MAX_RELEASE_READ_MS, claim.began_ms - previous.last_ms
            )
            return since_ms + read_ms
        if previous.is_released:
            return max(since_ms, owner.first_ms)
        since_ms = max(since_ms, previous.last_ms + fenced_writer.AUTONOMY_MS)
        if claim.host == self._world.claims[previous.token].host:
            since_ms = max(since_ms, owner.first_ms)
        if claim.began_ms > previous.first_ms:
            began_ms = claim.began_ms + fenced_writer.AUTONOMY_MS
            since_ms = max(since_ms, began_ms + 1_000)
        return since_ms


def _handle_events(owner: Any) -> None:
    try:
        while True:
            owner._handle(owner._events.get_nowait())
    except queue.Empty:
        return


def _as_earlier_version(
    recovered: recovered_state.RecoveredState, started_ms: int
) -> recovered_state.RecoveredState:
    """Has an owner of an earlier version wait from its start."""
    end_ms = started_ms + fenced_writer.AUTONOMY_MS + LONGEST_LEASE_MS
    known = {
        worker_id: attrs.evolve(worker, release_after_ms=end_ms)
        for worker_id, worker in recovered.known_workers.items()
    }
    return attrs.evolve(recovered, known_workers=known)


def _play_earlier_version(writer: Any) -> None:
    """Lets a writer act until its sessions are closed."""

    def may_act() -> bool:
        age_ms = writer._clock.monotonic_ms() - writer._heartbeat_sent_ms
        return not writer._is_fenced and age_ms < fenced_writer.AUTONOMY_MS

    writer.may_act = may_act
