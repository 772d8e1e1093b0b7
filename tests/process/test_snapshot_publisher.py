"""Tests of publishing snapshots."""

from __future__ import annotations

import testtools

from comfreylatch._process import follower
from comfreylatch._process import metrics
from comfreylatch._process import snapshot_publisher
from comfreylatch._process import snapshot_schedule
from comfreylatch._process import snapshot_stream
from comfreylatch._version import records
from testing import stream_history
from testing.fakes import clock as fake_clock
from testing.fakes import log as fake_log

POLICY = snapshot_schedule.SnapshotPolicy(
    max_distance_offsets=10, max_age_ms=60_000, turn_ms=1_000
)
SEATS = ("seat-1", "seat-2", "seat-3")


class DueTest(testtools.TestCase):
    """When a snapshot is due."""

    def due(
        self, offset: int, first: int, snapshot: int, age_ms: int = 0
    ) -> snapshot_schedule.DueReason | None:
        position = snapshot_schedule.SnapshotPosition(
            offset, first, snapshot, age_ms
        )
        return snapshot_schedule.due_reason(position, POLICY)

    def test_nothing_to_publish(self) -> None:
        self.assertIsNone(self.due(-1, 0, -1, 70_000))
        self.assertIsNone(self.due(9, 0, 9))
        self.assertIsNone(self.due(9, 0, 3))

    def test_distance(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.DISTANCE, self.due(12, 0, 2)
        )

    def test_records_expire(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.MISSING, self.due(5, 1, -1)
        )
        self.assertEqual(
            snapshot_schedule.DueReason.EXPIRING, self.due(12, 2, 5)
        )
        self.assertIsNone(self.due(12, 2, 8))

    def test_quiet_stream(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.AGE, self.due(9, 0, 9, 60_000)
        )

    def test_seats_take_turns(self) -> None:
        for last in range(3):
            waits = [
                snapshot_schedule.turn_delay_ms(seat, SEATS, last, 1_000)
                for seat in SEATS
            ]
            self.assertEqual([0, 1_000, 2_000], sorted(waits))
            self.assertEqual(0, waits[last])


class PublisherTest(testtools.TestCase):
    """Publishers of three seats on one log."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.clock = fake_clock.FakeClock()
        self.publishers = [self.make(seat) for seat in SEATS]

    def make(
        self, seat: str
    ) -> tuple[follower.StreamFollower, snapshot_publisher.SnapshotPublisher]:
        reader = follower.StreamFollower(
            self.log,
            "s",
            stream_history.NoteFold(),
            metrics.Metrics(),
            self.clock,
            wait_ms=0,
        )
        publisher = snapshot_publisher.SnapshotPublisher(
            self.log,
            reader,
            f"host-of-{seat}",
            seat,
            lambda: SEATS,
            metrics.Metrics(),
            self.clock,
            policy=POLICY,
        )
        return reader, publisher

    def put(self, notes: int) -> None:
        for _ in range(notes):
            offset = len(self.log.payloads("s"))
            note = stream_history.Note(offset)
            self.log.put("s", [records.encode("writer", offset + 1, note)])

    def round(self) -> int:
        """One step of every host; how many published."""
        published = 0
        for reader, publisher in self.publishers:
            reader.step()
            published += publisher.step()
        return published

    def test_one_seat_publishes(self) -> None:
        self.put(12)
        rounds = []
        for _ in range(10):
            rounds.append(self.round())
            self.clock.advance(1_000)
        self.assertEqual(1, sum(rounds))

    def test_dead_seat_is_passed_over(self) -> None:
        self.put(12)
        del self.publishers[2]
        rounds = []
        for _ in range(10):
            rounds.append(self.round())
            self.clock.advance(1_000)
        self.assertEqual(1, sum(rounds))

    def test_expired_snapshot_is_published_again(self) -> None:
        self.put(12)
        for _ in range(4):
            self.round()
            self.clock.advance(1_000)
        name = snapshot_stream.name_of("s")
        self.log.expire_below(name, len(self.log.payloads(name)))
        self.assertTrue(snapshot_stream.load(self.log, "s").is_err())
        for _ in range(4):
            self.round()
            self.clock.advance(1_000)
        self.assertTrue(snapshot_stream.load(self.log, "s").is_ok())

    def test_new_host_starts_from_snapshot_and_tail(self) -> None:
        self.put(12)
        for _ in range(4):
            self.round()
            self.clock.advance(1_000)
        self.put(3)
        self.round()
        taken = snapshot_stream.load(self.log, "s").unwrap()
        self.log.expire_below("s", taken.offset + 1)
        reader, _ = self.make("seat-4")
        reader.step()
        reader.step()
        self.assertTrue(reader.ready)
        self.assertEqual(self.publishers[0][0].position(), reader.position())

    def test_log_down_publishes_nothing(self) -> None:
        self.put(12)
        self.round()
        self.log.down = True
        self.assertEqual(0, self.round())
