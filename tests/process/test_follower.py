"""Tests of `StreamFollower`."""

from __future__ import annotations

import attrs
import testtools

from comfreylatch._ports import log as log_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._process import catch_up
from comfreylatch._process import follower
from comfreylatch._process import metrics
from comfreylatch._process import record_pusher
from comfreylatch._process import snapshot_stream
from comfreylatch._process import stream_state
from comfreylatch._version import records
from comfreylatch._version import snapshots
from testing import stream_history
from testing.fakes import clock as fake_clock
from testing.fakes import log as fake_log
from testing.fakes import peers as fake_peers

ZONE = "bole"


def payload(note: int, sequence: int, writer: str = "writer") -> bytes:
    return records.encode(writer, sequence, stream_history.Note(note))


def entries(*notes: int) -> list[log_port.LogEntry]:
    """Entries whose offsets equal their notes."""
    return [log_port.LogEntry(note, payload(note, note + 1)) for note in notes]


class FollowerTest(testtools.TestCase):
    """Tests that run single steps of a follower."""

    def setUp(self) -> None:
        super().setUp()
        self.log = fake_log.FakeLog()
        self.clock = fake_clock.FakeClock()
        self.metrics = metrics.Metrics()
        self.peers = fake_peers.FakePeers()
        self.applied: list[stream_state.Applied] = []
        self.fold = stream_history.NoteFold()
        self.follower = self.make_follower(self.fold)

    def make_follower(
        self, fold: stream_history.NoteFold
    ) -> follower.StreamFollower:
        return follower.StreamFollower(
            self.log,
            "s",
            fold,
            self.metrics,
            self.clock,
            wait_ms=0,
            catch_up=catch_up.PeerCatchUp(self.peers, ZONE, 100),
            after_apply=self.applied.append,
        )

    def add_peer(self, notes: int) -> stream_history.NoteFold:
        """Adds a ready peer that has folded this many notes."""
        fold = stream_history.NoteFold()
        peer = self.make_follower(fold)
        self.append_notes(notes)
        while not peer.ready:
            peer.step()
        self.peers.followers["peer"] = peer
        view = peers_port.PeerView("peer", ZONE, reachable=True)
        self.peers.peer_views = (view,)
        return fold

    def append_notes(self, notes: int) -> None:
        for note in range(notes):
            self.log.put("s", [payload(note, note + 1)])

    def publish(self, snapshot: snapshots.StreamSnapshot) -> None:
        chunks = [
            records.encode("publisher", index + 1, chunk)
            for index, chunk in enumerate(snapshots.split(snapshot))
        ]
        self.log.put(snapshot_stream.name_of("s"), chunks)

    def test_follower_is_ready_at_the_head(self) -> None:
        self.append_notes(follower.MAX_READ_ENTRIES + 1)
        self.follower.step()
        self.assertFalse(self.follower.ready)
        self.follower.step()
        self.assertTrue(self.follower.ready)
        self.assertEqual(follower.MAX_READ_ENTRIES, self.follower.offset())

    def test_repeated_record_is_folded_once(self) -> None:
        self.log.put("s", [payload(1, 1), payload(2, 2), payload(1, 1)])
        self.follower.step()
        self.assertEqual([1, 2], self.fold.notes)
        self.assertEqual(2, self.follower.offset())

    def test_bad_record_is_counted_and_skipped(self) -> None:
        self.log.put("s", [b"{", b'{"kind": "none"}', payload(1, 1)])
        self.follower.step()
        self.assertEqual([1], self.fold.notes)
        self.assertEqual(
            2, self.metrics.value(metrics.Counter.BAD_RECORDS, "s")
        )

    def test_entries_from_a_peer_must_continue_exactly(self) -> None:
        self.assertFalse(self.follower.apply_from_peer(entries(1)))
        self.assertTrue(self.follower.apply_from_peer(entries(0, 1)))
        self.assertTrue(self.follower.apply_from_peer(entries(1, 2)))
        self.assertFalse(self.follower.apply_from_peer(entries(0, 1, 2)))
        self.assertFalse(self.follower.apply_from_peer(entries(4)))
        self.assertEqual([0, 1, 2], self.fold.notes)

    def test_age_grows_while_the_log_is_down(self) -> None:
        self.assertEqual(follower.NEVER_SYNCED_AGE_MS, self.follower.age_ms())
        self.follower.step()
        self.log.down = True
        self.clock.advance(180_000)
        self.follower.step()
        self.assertEqual(180_000, self.follower.age_ms())

    def test_expired_records_are_replaced_by_a_snapshot(self) -> None:
        peer_fold = self.add_peer(5)
        peer = self.peers.followers.pop("peer")
        self.peers.peer_views = ()
        self.publish(peer.snapshot())
        self.log.put("s", [payload(9, 9)])
        self.log.expire_below("s", 4)
        for _ in range(3):
            self.follower.step()
        peer.step()
        self.assertEqual(peer_fold.notes, self.fold.notes)
        self.assertEqual(peer.position(), self.follower.position())

    def test_restored_writer_table_rejects_repeated_records(self) -> None:
        self.add_peer(3)
        self.publish(self.peers.followers["peer"].snapshot())
        self.log.expire_below("s", 3)
        self.log.put("s", [payload(2, 3)])
        for _ in range(3):
            self.follower.step()
        self.assertEqual([0, 1, 2], self.fold.notes)

    def test_snapshot_with_wrong_digest_is_rejected(self) -> None:
        self.add_peer(3)
        snapshot = self.peers.followers.pop("peer").snapshot()
        self.peers.peer_views = ()
        self.publish(attrs.evolve(snapshot, digest="another"))
        self.log.expire_below("s", 3)
        for _ in range(3):
            self.follower.step()
        self.assertEqual(-1, self.follower.offset())
        self.assertFalse(self.follower.ready)

    def test_new_host_catches_up_from_a_peer_when_log_is_down(self) -> None:
        peer_fold = self.add_peer(5)
        self.log.down = True
        self.follower.step()
        self.assertTrue(self.follower.ready)
        self.assertEqual(peer_fold.notes, self.fold.notes)

    def test_new_host_far_behind_a_peer_receives_a_snapshot(self) -> None:
        peer_fold = self.add_peer(stream_state.MAX_RECENT_ENTRIES + 5)
        self.log.down = True
        self.follower.step()
        self.assertTrue(self.follower.ready)
        self.assertEqual(peer_fold.notes, self.fold.notes)

    def test_host_with_another_digest_than_its_peer_is_not_ready(self) -> None:
        peer_fold = self.add_peer(5)
        peer_fold.notes[0] = 77
        self.log.down = True
        self.follower.step()
        self.assertFalse(self.follower.ready)
        self.assertEqual(
            1,
            self.metrics.value(metrics.Counter.BAD_PEER_MESSAGES, "digest"),
        )

    def test_host_below_a_known_offset_is_not_ready(self) -> None:
        self.add_peer(5)
        ahead = peers_port.PeerView(
            "silent", ZONE, reachable=True, config_offset=9
        )
        self.peers.peer_views = (ahead, *self.peers.peer_views)
        self.log.down = True
        self.follower.step()
        self.assertEqual(4, self.follower.offset())
        self.assertFalse(self.follower.ready)

    def test_host_that_is_not_ready_serves_no_catch_up(self) -> None:
        self.assertTrue(self.follower.serve_catch_up(-1).is_err())

    def test_older_peer_does_not_revert_the_state(self) -> None:
        self.add_peer(2)
        self.append_notes(3)
        self.follower.step()
        before = self.follower.position()
        self.log.down = True
        self.follower.step()
        self.assertEqual(before, self.follower.position())

    def test_own_record_is_pushed_to_a_host_without_the_log(self) -> None:
        pusher = record_pusher.OwnRecordPusher(self.peers, "writer")
        isolated_fold = stream_history.NoteFold()
        self.peers.followers["cut"] = self.make_follower(isolated_fold)
        self.append_notes(2)
        self.follower.step()
        pusher.observe(self.applied[-1])
        self.assertEqual([0, 1], isolated_fold.notes)

    def test_log_that_lost_its_tail_does_not_revert_the_state(self) -> None:
        self.follower.apply_from_peer(entries(0, 1, 2))
        self.append_notes(1)
        self.follower.step()
        self.assertEqual(2, self.follower.offset())
        self.assertFalse(self.follower.ready)

    def test_thread_follows_until_exit(self) -> None:
        with self.make_follower(self.fold) as threaded_follower:
            self.append_notes(3)
            self.assertTrue(threaded_follower.wait_for(2, 2_000))
            self.assertFalse(threaded_follower.wait_for(3, 10))
        self.assertEqual([0, 1, 2], self.fold.notes)
