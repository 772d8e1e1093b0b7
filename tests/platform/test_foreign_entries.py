"""Tests of entries of other writers in the list of executors."""

from __future__ import annotations

import json
import time

from tests.platform import host_process


class ForeignEntryTest(host_process.HostProcessTestCase):
    """A host process whose executor has tasks to run."""

    def setUp(self) -> None:
        super().setUp()
        self.wait_for(self.is_ready)
        path = f"/calib/{host_process.JOB_ID}"
        reply = self.request("POST", self.callers, path, host_process.JOB)
        self.assertEqual(200, reply.status)
        self.wait_for(lambda: len(self.worker.running) == 2)

    def assert_executor_is_kept(self) -> None:
        """Checks that the executor and its runs are not given up."""
        time.sleep(host_process.SETTLED_S)
        self.assertEqual([], self.logged("worker-dropped"))
        self.assertEqual([], self.logged("run-lost"))
        self.worker.end_all("done")
        self.wait_for(lambda: len(self.worker.running) == 1)

    # Guards against a task that is started twice, as an entry of a service that
    # isn't configured is taken for a new life of the executor at its address.
    def test_entry_of_an_unknown_service_replaces_no_executor(self) -> None:
        self.write_executor(
            "probe-17",
            Service="node-probe",
            Address=self.executor_address,
            born=2,
        )
        self.assert_executor_is_kept()

    # Guards against the same by an entry with a number that no executor has.
    def test_entry_with_an_odd_number_replaces_no_executor(self) -> None:
        for number, fields in enumerate(
            (
                {"born": 10**30},
                {"born": 2, "Slots": -1},
                {"born": 2, "Sequence": 1e300},
                {"born": 2, "ColdRemainingMs": 1e300},
                {"born": 2, "Capacity": {"CpuMillicores": 1e300}},
                {"born": 2, "Capacity": {"RequestedMemoryMb": 10**30}},
            )
        ):
            self.write_executor(
                f"probe-{number}", Address=self.executor_address, **fields
            )
        self.assert_executor_is_kept()

    # Guards against the same by an entry that lacks a field of executors or has
    # one of another type.
    def test_incomplete_entry_replaces_no_executor(self) -> None:
        for number, fields in enumerate(
            (
                {"Version": None},
                {"Slots": "many"},
                {"ColdRemainingMs": []},
                {"Sequence": True},
                {"Zone": 7},
                {"Labels": None},
            )
        ):
            self.write_executor(
                f"probe-{number}",
                Address=self.executor_address,
                born=2,
                **fields,
            )
        self.assert_executor_is_kept()


# More nested than any decoder should follow, in less than one record.
NESTED = "[" * 60_000 + "]" * 60_000
ODD_VALUES = {
    "a nested value": {"Extra": NESTED},
    "a nested label": {"Labels": NESTED},
    "a nested address": {"Address": NESTED},
    "an infinite number": {"Slots": "1e999"},
    "a capacity too large": {"Capacity": '{"CpuMillicores":1e308}'},
    "memory too large": {
        "Capacity": '{"CpuMillicores":1,"RequestedMemoryMb":1e300}'
    },
    "a start too late": {"born": "1" + "0" * 30},
    "a start too early": {"born": "-1" + "0" * 30},
    "a number too long": {"born": "1" * 5_000},
    "port 0": {"Address": '"127.0.0.1:0"'},
    "a port too large": {"Address": '"127.0.0.1:65536"'},
    "a port far too large": {"Address": f'"127.0.0.1:{"9" * 5_000}"'},
    "a port of other digits": {"Address": '"127.0.0.1:\\u00b2"'},
    "a space in the address": {"Address": '"127.0.0.1 x:80"'},
    "a line break in the address": {"Address": '"127.0.0.1\\n:80"'},
}
ODD_KEYS = ("", "a\nb", "\u2603", "a" * 255)


class OddEntryTest(host_process.HostProcessTestCase):
    """A host process that reads entries that no decoder expects."""

    def write_odd(self, key: str, fields: dict[str, str]) -> None:
        """Writes an entry in which some fields have the JSON text given."""
        entry = {
            **host_process.EXECUTOR,
            "Address": self.store_address,
            "born": 2,
        }
        texts = {name: json.dumps(value) for name, value in entry.items()}
        texts.update(fields)
        body = ",".join(f'"{name}":{text}' for name, text in texts.items())
        self.write_raw("servers", key, f"{{{body}}}".encode())

    # Guards against owners that end one after the other, and against a list
    # that is not followed any more, for one entry of another writer.
    def test_odd_entries_stop_no_owner(self) -> None:
        self.wait_for(self.is_ready)
        self.wait_for(self.is_owner)
        for number, fields in enumerate(ODD_VALUES.values()):
            self.write_odd(f"odd-{number}", fields)
        for key in ODD_KEYS:
            self.write_odd(key, {})
        time.sleep(host_process.SETTLED_S)
        for event in ("owner-failed", "records-not-applied", "hold-failed"):
            self.assertEqual([], self.logged(event)[:1])
        self.assertEqual(1, len(self.logged("takeover")))
        # The list is still followed: an executor that leaves it gets no task.
        self.delete_record("servers", "w1")
        path = f"/calib/{host_process.JOB_ID}"
        reply = self.request("POST", self.callers, path, host_process.JOB)
        self.assertEqual(200, reply.status)
        time.sleep(host_process.SETTLED_S)
        self.assertEqual({}, dict(self.worker.running))
        self.write_executor("w1", Address=self.executor_address, born=1)
        self.wait_for(lambda: len(self.worker.running) == 2)
