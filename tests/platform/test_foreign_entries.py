"""Tests of entries of other writers in the list of executors."""

from __future__ import annotations

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
