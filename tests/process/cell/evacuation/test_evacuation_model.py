"""Random orders of requests, cuts, takeovers and delayed starts."""

from __future__ import annotations

from collections.abc import Callable
import random

import attrs
import testtools

from comfreylatch._ports import evacuations
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process.cell.evacuation import guard as guard_module

ZONES = ("a", "b", "c")
IN_FORCE_MS = 5_000
LENGTH_MS = 60_000
STEP_MS = 100
READ_DELAY_MS = 300
SEEDS = range(60)


@attrs.define(eq=False)
class Host:
    """A host with its reading of the requests.

    Attributes:
        zones: Evacuated zones as last read.
        read_ms: When that was; before the first reading, long ago.
        is_cut: Whether it can't reach the store.
    """

    zones: frozenset[str] = frozenset()
    read_ms: int = -(10**9)
    is_cut: bool = False


@attrs.frozen
class QueuedStart:
    """A start that waits in the queue of a worker's session."""

    zone: str
    host: Host
    send_ms: int
    execution_ms: int


class World:
    """Operators, the store, two hosts that take turns, and workers.

    Attributes:
        starts: Number of starts executed.
        late_starts: Starts in a zone whose evacuation had to be in force.
    """

    def __init__(self, seed: int, check_before_send: bool = True) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0
        self.starts = 0
        self.late_starts: list[tuple[int, str]] = []
        self._check_before_send = check_before_send
        self._requested_ms: dict[str, int] = {}
        self._hosts = [Host(), Host()]
        self._guards = [self.make_guard(host) for host in self._hosts]
        self._owner = 0
        self._queue: list[QueuedStart] = []

    def make_guard(
        self, host: Host, in_force_ms: int = IN_FORCE_MS
    ) -> guard_module.EvacuationGuard:
        """Returns a host's guard."""
        return guard_module.EvacuationGuard(
            evacuations.EvacuationFeed(
                lambda: host.zones,
                lambda: self.now_ms - host.read_ms,
                in_force_ms,
            ),
            metrics_module.Metrics(),
        )

    def ignore_age(self) -> None:
        """Has the guards trust readings of any age."""
        self._guards = [self.make_guard(host, 0) for host in self._hosts]

    def play(self) -> None:
        """Plays one minute."""
        for self.now_ms in range(0, LENGTH_MS, STEP_MS):
            self._request()
            self._cut_and_read()
            if self.random.random() < 0.01:
                self._owner = 1 - self._owner
            self._order_starts()
            self._send_starts()

    def _request(self) -> None:
        zone = self.random.choice(ZONES)
        if self.random.random() < 0.005:
            self._requested_ms.setdefault(zone, self.now_ms)
        elif self.random.random() < 0.01:
            self._requested_ms.pop(zone, None)

    def _cut_and_read(self) -> None:
        for host in self._hosts:
            if self.random.random() < 0.01:
                host.is_cut = not host.is_cut
            delay_ms = self.random.randint(0, READ_DELAY_MS)
            if not host.is_cut and self.now_ms - host.read_ms >= delay_ms:
                host.zones = frozenset(self._requested_ms)
                host.read_ms = self.now_ms

    def _order_starts(self) -> None:
        host, guard = self._hosts[self._owner], self._guards[self._owner]
        for zone in ZONES:
            if guard.permits_start(zone):
                # A worker that is slow to answer holds up its queue.
                send_ms = self.now_ms + self.random.randint(0, 3_000)
                execution_ms = send_ms + self.random.randint(0, 900)
                self._queue.append(
                    QueuedStart(zone, host, send_ms, execution_ms)
                )

    def _send_starts(self) -> None:
        due = [start for start in self._queue if start.send_ms <= self.now_ms]
        self._queue = [s for s in self._queue if s.send_ms > self.now_ms]
        for start in due:
            guard = self._guards[self._hosts.index(start.host)]
            if self._check_before_send and not guard.permits_start(start.zone):
                continue
            self.starts += 1
            requested_ms = self._requested_ms.get(start.zone)
            if (
                requested_ms is not None
                and start.execution_ms > requested_ms + IN_FORCE_MS
            ):
                self.late_starts.append((start.execution_ms, start.zone))


class EvacuationModelTest(testtools.TestCase):
    """Starts that are executed after an evacuation had to be in force."""

    def count_late(self, prepare: Callable[[World], None]) -> tuple[int, int]:
        """Returns how many starts were late, and how many there were."""
        late = starts = 0
        for seed in SEEDS:
            world = World(seed)
            prepare(world)
            world.play()
            late += len(world.late_starts)
            starts += world.starts
        return late, starts

    def test_no_start_is_late(self) -> None:
        late, starts = self.count_late(lambda _: None)
        self.assertEqual(0, late)
        self.assertGreater(starts, 10_000)

    def test_start_is_late_if_queued_starts_are_not_checked_again(self) -> None:
        def skip_check(world: World) -> None:
            world._check_before_send = False

        self.assertGreater(self.count_late(skip_check)[0], 0)

    def test_start_is_late_if_old_readings_are_trusted(self) -> None:
        self.assertGreater(self.count_late(World.ignore_age)[0], 0)
