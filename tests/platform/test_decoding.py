"""Tests of decoding input from operators, executors and callers."""

from __future__ import annotations

import json
from typing import Any
import unittest.mock

import result
import testtools

from comfreylatch._connection import json_call
from comfreylatch._ports import cell_workers
from comfreylatch._process.cell import specs
from comfreylatch.platform import configuration
from comfreylatch.platform import wire
from comfreylatch.platform import workers

ENTRY = {
    "Service": "skyproc",
    "Address": "10.1.64.3:8721",
    "Zone": "bole",
    "Version": "v1",
    "Slots": 8,
    "ColdRemainingMs": 0,
    "Sequence": 4,
    "State": "ready",
    "Capacity": {"CpuMillicores": 32_000, "RequestedMemoryMb": 128_000},
    "Labels": ["a", "r1-3"],
    "born": 1_781_570_625_127,
}
QUEUE = specs.QueueSpec("q", "a.example", "/q/", "skyproc")


class HoldReplyTest(testtools.TestCase):
    """Replies to a hold with rows of a wrong type."""

    def hold(self, **fields: Any) -> Any:
        """Has an executor reply with these fields; returns the outcome."""
        reply = json.dumps({"ClockMs": 7, **fields}).encode()
        entry = workers.decode_worker("i-1", json.dumps(ENTRY).encode())
        client = workers.WorkerClient(entry)
        self.addCleanup(client.close)
        answered = result.Ok(json_call.Answer(200, reply))
        with unittest.mock.patch.object(
            json_call, "call", return_value=answered
        ):
            return client.hold(cell_workers.HoldOrder(1, 0, 0, 0), 100)

    def test_reply_is_decoded(self) -> None:
        row = ["a.0.0.0", 1, "", 50, 7]
        self.assertEqual(50.0, self.hold(Running=[row]).ok().running[0].percent)

    def test_malformed_replies_count_as_unanswered(self) -> None:
        for fields in (
            {"Running": [["a.0.0.0", 1, "", None, 7]]},
            {"Running": [["a.0.0.0", [], "", 50, 7]]},
            {"Running": [["a.0.0.0", 1]]},
            {"Running": [["a.0.0.0", 1, "", 50, {}]]},
            {"Running": 7},
            {"Ended": [[1, "a.0.0.0", 1, "vanished", ""]]},
            {"Ended": [[None, "a.0.0.0", 1, "done", ""]]},
            {"ClockMs": "noon"},
        ):
            outcome = self.hold(**fields)
            self.assertIsInstance(
                outcome.err(), cell_workers.OrderUnanswered, fields
            )


class WorkerEntryTest(testtools.TestCase):
    """Decoding of executors' entries, including malformed ones."""

    def decode(self, **changes: Any) -> Any:
        """Decodes the entry with some fields changed."""
        value = json.dumps({**ENTRY, **changes}).encode()
        return workers.decode_worker("i-1", value)

    def test_entry_is_decoded(self) -> None:
        entry = self.decode()
        self.assertEqual(32_000, entry.capacity.cpu_millicores)
        self.assertEqual(1_781_570_625_127, entry.born_ms)
        self.assertFalse(entry.is_draining)

    def test_state_draining_is_decoded(self) -> None:
        self.assertTrue(self.decode(State="draining").is_draining)

    def test_unusable_entries_are_rejected(self) -> None:
        for changes in (
            {"State": "sleeping"},
            {"Address": 7},
            {"Address": "nowhere"},
            {"Address": "localhost:80"},
            {"Address": "10.1.64.3:0"},
            {"Address": "10.1.64.3:65536"},
            {"Address": "10.1.64.3:\u00b2"},
            {"Address": "10.1.64.3:" + "9" * 5_000},
            {"Address": "10.1.64.3\r\nX-A: b:80"},
            {"Capacity": None},
            {"Labels": "a"},
            {"born": 1.5},
        ):
            self.assertRaises(wire.BadMessageError, self.decode, **changes)

    # Guards against an entry of another writer that is taken for an executor.
    def test_entry_that_lacks_a_field_is_rejected(self) -> None:
        for field in ENTRY.keys() - {"born"}:
            entry = {key: ENTRY[key] for key in ENTRY if key != field}
            value = json.dumps(entry).encode()
            self.assertRaises(
                wire.BadMessageError, workers.decode_worker, "i-1", value
            )

    # Guards against an entry that overflows the stack of the thread that reads
    # the list, which kills the process on Python 3.12 and later.
    def test_nested_entry_is_rejected(self) -> None:
        nested: list[Any] = []
        for _ in range(100):
            nested = [nested]
        self.assertRaises(wire.BadMessageError, self.decode, Extra=nested)

    # Guards against calls that fail for a header that can't be sent.
    def test_unusable_ids_are_rejected(self) -> None:
        value = json.dumps(ENTRY).encode()
        for worker_id in ("", "a b", "a\n", "\u2603"):
            self.assertRaises(
                wire.BadMessageError, workers.decode_worker, worker_id, value
            )

    def test_invalid_utf8_is_rejected(self) -> None:
        self.assertRaises(
            wire.BadMessageError,
            workers.decode_worker,
            "i-1",
            b"\xff\x00",
        )


class SubmissionTest(testtools.TestCase):
    """Decoding of submissions."""

    def decode(self, body: Any) -> specs.JobSpec:
        """Decodes a body as a submission."""
        return configuration.decode_submission(
            "0" * 16, QUEUE, json.dumps(body).encode(), 5
        )

    def test_omitted_fields_have_defaults(self) -> None:
        job = self.decode({"JobSteps": [{"TaskCount": 2}]})
        self.assertEqual(specs.StepSpec(2), job.steps[0])

    def test_unknown_fields_are_ignored(self) -> None:
        job = self.decode({"JobSteps": [{"TaskCount": 1, "New": 1}]})
        self.assertEqual(1, len(job.steps))

    def test_invalid_bodies_are_rejected(self) -> None:
        for body in (
            {},
            [],
            {"JobSteps": []},
            {"JobSteps": [{"TaskCount": 0}]},
            {"JobSteps": [{"TaskCount": "many"}]},
            {"JobSteps": [{"TaskCount": 1, "DependsOn": [0]}]},
            {"JobSteps": [{"TaskCount": 1, "DependsOn": [-1]}]},
        ):
            self.assertRaises(wire.BadMessageError, self.decode, body)


class ConfigurationTest(testtools.TestCase):
    """Decoding of the operators' configuration."""

    def test_longest_prefix_wins(self) -> None:
        routes = [
            {"Name": n, "Host": "a", "PathPrefix": p, "Service": "s"}
            for n, p in (("r1", "/a/"), ("r2", "/a/b/"))
        ]
        value = json.dumps({"Version": 3, "Routes": routes}).encode()
        found = configuration.decode_configuration(value)
        queue = found.find_queue("a", "/a/b/0")
        assert queue is not None
        self.assertEqual("r2", queue.name)
        self.assertIs(None, found.find_queue("b", "/a/b/0"))

    def test_malformed_configuration_is_rejected(self) -> None:
        self.assertRaises(
            wire.BadMessageError,
            configuration.decode_configuration,
            b'{"Version": "new"}',
        )
