"""An in-memory zone: its stream, single-threaded owners and workers."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Sequence
import threading
from typing import Any
from typing import final

import result

from comfreylatch._ports import hosts
from comfreylatch._ports import log as log_port
from comfreylatch._ports import streams
from comfreylatch._ports import workers
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import stream_state
from comfreylatch._process.batch import ownership as ownership_module
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import worker_link
from comfreylatch._process.batch import worker_session
from comfreylatch._process.batch import zone_owner
from comfreylatch._version import configuration as configuration_module
from comfreylatch._version import job_records
from comfreylatch._version import job_state
from comfreylatch._version import objects
from comfreylatch._version import records
from comfreylatch._version import zone_fold
from testing.fakes import clock as fake_clock
from testing.fakes import workers as fake_workers

ZONE = "bole"
TICK_MS = 250


@final
class FakeConfigurationSource:
    """Implements `ConfigurationSource` with a value that tests set."""

    def __init__(
        self, configuration: configuration_module.Configuration
    ) -> None:
        self.configuration = configuration

    def current(self) -> configuration_module.Configuration:
        """See `ConfigurationSource.current`."""
        return self.configuration

    def on_change(self, listener: Any) -> None:
        """See `ConfigurationSource.on_change`; never calls it."""

    def age_ms(self) -> int:
        """See `ConfigurationSource.age_ms`."""
        return 0


@final
class FakeStream:
    """The zone's stream; hosts in `cut` can neither read nor append."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.cut: set[str] = set()


@final
class FakeAppender:
    """Implements `RecordAppender` synchronously.

    Attributes:
        lose_next: Whether the answer to the next append is lost.
        hold_next: Whether the next append is delayed until the one after it.
    """

    def __init__(self, stream: FakeStream, host: str) -> None:
        self._stream = stream
        self._host = host
        self._sequence = 0
        self._held: list[bytes] = []
        self.lose_next = False
        self.hold_next = False

    def append(
        self,
        bodies: Sequence[Any],
        timeout_ms: int,  # noqa: ARG002
    ) -> result.Result[streams.Appended, streams.AppendError]:
        """See `RecordAppender.append`."""
        if self._host in self._stream.cut:
            return result.Err(streams.NotAccepted("cut", 100))
        payloads = []
        for body in bodies:
            self._sequence += 1
            payloads.append(records.encode(self._host, self._sequence, body))
        if self.hold_next:
            self.hold_next = False
            self._held = payloads
            return result.Err(streams.AppendUnknown("held"))
        self._stream.payloads.extend(self._held)
        self._held = []
        offset = len(self._stream.payloads)
        self._stream.payloads.extend(payloads)
        if self.lose_next:
            self.lose_next = False
            return result.Err(streams.AppendUnknown("lost"))
        return result.Ok(streams.Appended(offset))


@final
class FakeFollower:
    """Implements `ownership.Follower`; reads only when called."""

    def __init__(
        self,
        stream: FakeStream,
        host: str,
        fold: zone_fold.ZoneFold,
        clock: fake_clock.FakeClock,
    ) -> None:
        self._stream = stream
        self._host = host
        self._clock = clock
        self._state = stream_state.StreamState(
            "zone", fold, metrics_module.Metrics(), None
        )
        self._read_ms = -1_000_000

    def read(self) -> None:
        """Applies all new records, unless this host is cut off."""
        if self._host in self._stream.cut:
            return
        start = self.offset() + 1
        entries = [
            log_port.LogEntry(start + index, payload)
            for index, payload in enumerate(self._stream.payloads[start:])
        ]
        self._state.apply(entries, stream_state.EntrySource.LOG)
        self._read_ms = self._clock.now_ms

    def offset(self) -> int:
        """See `ownership.Follower.offset`."""
        return self._state.offset

    def wait_for(self, offset: int, timeout_ms: int) -> bool:  # noqa: ARG002
        """See `ownership.Follower.wait_for`."""
        self.read()
        return self.offset() >= offset

    def age_ms(self) -> int:
        """See `ownership.Follower.age_ms`."""
        return self._clock.now_ms - self._read_ms


@final
class FakeLinkPool:
    """Implements `LinkPool` without threads."""

    def __init__(self, host: str) -> None:
        self._host = host
        self.sessions: dict[str, worker_session.WorkerSession] = {}
        self.events: collections.deque[worker_session.LinkEvent] = (
            collections.deque()
        )
        self.woken = threading.Event()

    def update(
        self,
        listed: Collection[hosts.ListedHost],
        needed: Collection[str],  # noqa: ARG002
    ) -> None:
        """See `LinkPool.update`."""
        for host in listed:
            if host.name not in self.sessions:
                self.sessions[host.name] = worker_session.WorkerSession(
                    host.name, host.address, self._host
                )

    def stop_all(self) -> None:
        """See `LinkPool.stop_all`."""

    def clear_commands(self) -> None:
        """See `LinkPool.clear_commands`."""
        for session in self.sessions.values():
            session.clear_commands()
        self.events.clear()

    def drain_events(self) -> list[worker_session.LinkEvent]:
        """See `LinkPool.drain_events`."""
        events = list(self.events)
        self.events.clear()
        return events

    def session(self, worker: str) -> worker_session.WorkerSession | None:
        """See `attempt.CommandSink.session`."""
        return self.sessions.get(worker)

    def queue_command(
        self, worker: str, command: workers.Command, at_once: bool = True
    ) -> None:
        """See `attempt.CommandSink.queue_command`."""
        session = self.sessions.get(worker)
        if session is not None:
            session.queue_command(command, at_once)

    def poll_by(self, worker: str, due_ms: int) -> None:
        """See `attempt.CommandSink.poll_by`."""
        session = self.sessions.get(worker)
        if session is not None:
            session.poll_by(due_ms)

    def withdraw_command(self, worker: str, command: workers.Command) -> bool:
        """See `attempt.CommandSink.withdraw_command`."""
        session = self.sessions.get(worker)
        return session is not None and session.withdraw_command(command)


@final
class FakeHost:
    """The zone-related parts of one entry host, stepped by tests."""

    def __init__(
        self,
        name: str,
        stream: FakeStream,
        network: fake_workers.FakeNetwork,
        source: FakeConfigurationSource,
        clock: fake_clock.FakeClock,
        policy: placement.Policy = placement.Policy.PREDICTED_COST,
    ) -> None:
        self.name = name
        self.paused = False
        self.released = False
        self.fold = zone_fold.ZoneFold()
        self.appender = FakeAppender(stream, name)
        self.follower = FakeFollower(stream, name, self.fold, clock)
        self.metrics = metrics_module.Metrics()
        self.journal = journal_module.Journal(name, clock)
        self.pool = FakeLinkPool(name)
        self._port = network.port(name)
        self._clock = clock
        self.ownership = ownership_module.Ownership(
            name,
            ZONE,
            self.appender,
            self.follower,
            self.fold,
            source,
            self.journal,
            self.metrics,
            clock,
        )
        self.owner = zone_owner.ZoneOwner(
            ZONE,
            self.ownership,
            self.appender,
            self.follower,
            self.fold,
            source,
            self.pool,
            self.journal,
            self.metrics,
            clock,
            policy,
        )

    def tick(self) -> None:
        """Runs every step that is due now."""
        if self.paused or self.released:
            return
        self.follower.read()
        self.ownership.step()
        self.owner.step()
        for session in tuple(self.pool.sessions.values()):
            self.exchange(session)
        self.owner.step()

    def exchange(self, session: worker_session.WorkerSession) -> None:
        """Runs the exchanges that are due with one worker, at most two."""
        for _ in range(2):
            permissions = self.ownership.permissions()
            if session.due_in_ms(permissions, self._clock.now_ms):
                return
            event = worker_link.exchange_once(
                session, self._port, self.ownership, self._clock
            )
            if event is None:
                return
            self.pool.events.append(event)
            if isinstance(event, worker_session.Unanswered):
                return

    def release(self) -> None:
        """Stops the host and releases its ownership."""
        self.released = True
        self.follower.read()
        self.ownership.release()


@final
class FakeZone:
    """A zone of workers and entry hosts that share a fake clock."""

    def __init__(
        self,
        worker_count: int = 3,
        host_count: int = 2,
        worker_capacity: workers.Resources | None = None,
        limits: objects.Limits | None = None,
        teams: dict[str, objects.Team] | None = None,
        policy: placement.Policy = placement.Policy.PREDICTED_COST,
    ) -> None:
        self.clock = fake_clock.FakeClock()
        self.stream = FakeStream()
        self.worker_capacity = worker_capacity or workers.Resources(
            2_000, 2_000, 0
        )
        self.policy = policy
        self.fleet = {
            f"w{index}": fake_workers.FakeWorker(
                f"w{index}", self.worker_capacity, self.clock
            )
            for index in range(worker_count)
        }
        self.network = fake_workers.FakeNetwork(self.fleet)
        self.source = FakeConfigurationSource(
            configuration_module.Configuration(
                offset=1,
                teams=teams
                or {"faculty": objects.Team(workers.Resources(10**6, 10**6))},
                worker_classes={
                    "standard": objects.WorkerClass(self.worker_capacity)
                },
                zones={ZONE: objects.Zone(("a", "b"), autonomy_ms=8_000)},
                limits=limits or objects.Limits(lease_ms=6_000),
            )
        )
        self.host_list = hosts.HostList(
            tuple(
                hosts.ListedHost(
                    name,
                    hosts.HostKind.WORKER,
                    hosts.HostState.LIVE,
                    ZONE,
                    f"rack-{index // 2}",
                    name,
                    "standard",
                )
                for index, name in enumerate(self.fleet)
            )
        )
        self._started = 0
        self.job_appender = FakeAppender(self.stream, "job-handler")
        self.hosts: list[FakeHost] = []
        for _ in range(host_count):
            self.hosts.append(self.new_host())

    def new_host(self) -> FakeHost:
        """Returns a host with a new name and empty state."""
        self._started += 1
        host = FakeHost(
            f"host-{self._started}",
            self.stream,
            self.network,
            self.source,
            self.clock,
            self.policy,
        )
        host.owner.update_host_list(self.host_list)
        return host

    def run(self, elapsed_ms: int, tick_ms: int = TICK_MS) -> None:
        """Advances the clock in ticks and steps every host after each."""
        for _ in range(max(1, elapsed_ms // tick_ms)):
            self.clock.advance(tick_ms)
            for host in self.hosts:
                host.tick()

    def owner(self) -> FakeHost | None:
        """Returns the host that may start work now, if any."""
        for host in self.hosts:
            if host.ownership.permissions().may_start(self.clock.now_ms):
                return host
        return None

    def submit(
        self,
        job: str,
        processors_milli: int = 1_000,
        run_time_ms: int = 4_000,
        *,
        memory_mib: int = 100,
        team: str = "faculty",
        job_class: str = "stack",
        urgent: bool = False,
    ) -> None:
        """Admits a job, as the job handler does."""
        spec = job_records.JobSpec(
            id=job,
            team=team,
            zone=ZONE,
            job_class=job_class,
            resources=workers.Resources(processors_milli, memory_mib),
            run_time_ms=run_time_ms,
            urgent=urgent,
        )
        self.job_appender.append([job_records.JobAdmitted(spec)], 0)

    def cancel(self, job: str) -> None:
        """Cancels a job, as the job handler does."""
        self.job_appender.append([job_records.JobCancelled(job)], 0)

    def state(self, job: str) -> job_state.JobState:
        """Returns a job's state in the fold of the first host not cut off."""
        connected = [
            host for host in self.hosts if host.name not in self.stream.cut
        ]
        host = (connected or self.hosts)[0]
        host.follower.read()
        state = host.fold.job(job)
        assert state is not None, f"job {job} is unknown"
        return state

    def running(self) -> dict[str, str]:
        """Returns the worker of each running job."""
        return {
            task.start.job: worker.name
            for worker in self.fleet.values()
            for task in worker.running()
        }
