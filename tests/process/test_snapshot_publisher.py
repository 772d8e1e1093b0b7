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
    """Tests of when a snapshot is due."""

    def due(
        self, offset: int, first: int, snapshot: int, age_ms: int = 0
    ) -> snapshot_schedule.DueReason | None:
        position = snapshot_schedule.SnapshotPosition(
            offset, first, snapshot, age_ms
        )
        return snapshot_schedule.due_reason(position, POLICY)

    def test_none_due_without_new_records(self) -> None:
        self.assertIsNone(self.due(-1, 0, -1, 70_000))
        self.assertIsNone(self.due(9, 0, 9))
        self.assertIsNone(self.due(9, 0, 3))

    def test_due_at_the_maximum_distance(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.DISTANCE, self.due(12, 0, 2)
        )

    def test_due_when_records_expire(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.MISSING, self.due(5, 1, -1)
        )
        self.assertEqual(
            snapshot_schedule.DueReason.EXPIRING, self.due(12, 2, 5)
        )
        self.assertIsNone(self.due(12, 2, 8))

    def test_idle_stream_is_due_at_the_maximum_age(self) -> None:
        self.assertEqual(
            snapshot_schedule.DueReason.AGE, self.due(9, 0, 9, 60_000)
        )

    def test_first_seat_changes_with_each_snapshot(self) -> None:
        for snapshot_offset in range(3):
            delays_ms = [
                snapshot_schedule.turn_delay_ms(
                    seat, SEATS, snapshot_offset, 1_000
                )
                for seat in SEATS
            ]
            self.assertEqual([0, 1_000, 2_000], sorted(delays_ms))
            self.assertEqual(0, delays_ms[snapshot_offset])


class PublisherTest(testtools.TestCase):
    """Tests of the publishers of three seats on one log."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.clock = fake_clock.FakeClock()
        self.publishers = [self.make_publisher(seat) for seat in SEATS]

    def make_publisher(
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

    def append_notes(self, notes: int) -> None:
        for _ in range(notes):
            offset = len(self.log.payloads("s"))
            note = stream_history.Note(offset)
            self.log.put("s", [records.encode("writer", offset + 1, note)])

    def step_all(self) -> int:
        """Runs one step of every host; returns how many published."""
        published = 0
        for reader, publisher in self.publishers:
            reader.step()
            published += publisher.step()
        return published

    def test_only_one_seat_publishes(self) -> None:
        self.append_notes(12)
        published = []
        for _ in range(10):
            published.append(self.step_all())
            self.clock.advance(1_000)
        self.assertEqual(1, sum(published))

    def test_next_seat_publishes_for_a_dead_one(self) -> None:
        self.append_notes(12)
        del self.publishers[2]
        published = []
        for _ in range(10):
            published.append(self.step_all())
            self.clock.advance(1_000)
        self.assertEqual(1, sum(published))

    def test_expired_snapshot_is_published_again(self) -> None:
        self.append_notes(12)
        for _ in range(4):
            self.step_all()
            self.clock.advance(1_000)
        name = snapshot_stream.name_of("s")
        self.log.expire_below(name, len(self.log.payloads(name)))
        self.assertTrue(snapshot_stream.load(self.log, "s").is_err())
        for _ in range(4):
            self.step_all()
            self.clock.advance(1_000)
        self.assertTrue(snapshot_stream.load(self.log, "s").is_ok())

    def test_new_host_starts_from_snapshot_and_tail(self) -> None:
        self.append_notes(12)
        for _ in range(4):
            self.step_all()
            self.clock.advance(1_000)
        self.append_notes(3)
        self.step_all()
        snapshot = snapshot_stream.load(self.log, "s").unwrap()
        self.log.expire_below("s", snapshot.offset + 1)
        reader, _ = self.make_publisher("seat-4")
        reader.step()
        reader.step()
        self.assertTrue(reader.ready)
        self.assertEqual(self.publishers[0][0].position(), reader.position())

    def test_log_down_publishes_nothing(self) -> None:
        self.append_notes(12)
        self.step_all()
        self.log.down = True
        self.assertEqual(0, self.step_all())
