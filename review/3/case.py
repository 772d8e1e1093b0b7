"""An executor that loses power and starts again under its id."""

from __future__ import annotations

import dataclasses
import threading
import time

from rig import case
from rig import executor

HOSTS = ("entry-1", "entry-2", "entry-3")
# The loss of one of these is at most 0.14 of them.
EXECUTORS = 8
TASKS = 7
TASK_S = 5.0
ROUNDS = 5
ROUND_S = 12.0
# `for_s` of `srv_crash` is 4.5 s.
DARK_S = 0.4
# A submission comes so long after the executor went dark.
SUBMIT_AFTER_S = 0.1
# Half of `lag_ms` of the site's discovery; entries are written every 1.5 s.
FIRST_CHECK_IN_S = 0.4
# A probe of an idle connection finds the machine started again.
RESET_AFTER_S = 0.6
# Within `StopTimeoutMs`.
STOP_S = 0.15
JOB = {
    "Specification": "seven tasks",
    "JobSteps": [
        {
            "TaskCount": TASKS,
            "CpuMillicores": 500,
            "EstimatedDurationMs": 5_000,
            "AntiAffinity": 1,
        }
    ],
}


class Fleet:
    """The executors, of which some start again, and what runs twice."""

    def __init__(self, deployment: case.Deployment) -> None:
        self._deployment = deployment
        self.paths = [deployment.proxy() for _ in range(EXECUTORS)]
        self.executors = [self._boot(number) for number in range(EXECUTORS)]
        self.twice: dict[str, list[str]] = {}
        threading.Thread(target=self._watch, daemon=True).start()

    def _boot(self, number: int, waits: bool = False) -> executor.Executor:
        spec = executor.Spec(
            f"e{number}", case.SERVICE, labels=("std", f"r1-{number}")
        )
        return self._deployment.executor(
            dataclasses.replace(
                spec,
                stop_s=STOP_S,
                first_check_in_s=FIRST_CHECK_IN_S if waits else 0.0,
            ),
            lambda *_: executor.Life(TASK_S),
            advertise=self.paths[number],
        )

    def darken(self, number: int) -> None:
        """Takes the power from an executor."""
        self._deployment.record.note("dark", executor=f"e{number}")
        self.paths[number].darken()
        self.executors[number].close()

    def lighten(self, number: int) -> None:
        """Starts an executor again under its id."""
        self.executors[number] = self._boot(number, waits=True)
        self.paths[number].lighten(RESET_AFTER_S)
        self._deployment.record.note("started-again", executor=f"e{number}")

    def _watch(self) -> None:
        while True:
            places: dict[str, list[str]] = {}
            for each in list(self.executors):
                if each.is_up:
                    for task in each.running():
                        places.setdefault(task, []).append(
                            each.spec.executor_id
                        )
            for task, ids in places.items():
                if len(ids) > 1 and task not in self.twice:
                    self.twice[task] = ids
                    self._deployment.record.note(
                        "two-runs", task=task, executors=",".join(ids)
                    )
            time.sleep(0.003)


def play(deployment: case.Deployment) -> int:
    """Restarts one executor in each round, while a submission is placed."""
    fleet = Fleet(deployment)
    deployment.configure()
    hosts = {name: deployment.host(name) for name in HOSTS}
    for host in hosts.values():
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() in hosts)
    time.sleep(3.0)
    owner = hosts[deployment.owner()]
    for number in range(ROUNDS):
        began_s = time.monotonic()
        # Each executor gets an order, so that a connection for orders is open.
        deployment.call("POST", owner, f"5c0e7a21d94b30{number:02x}", JOB)
        time.sleep(TASK_S + 0.7)
        busy = deployment.has_trouble
        if busy:
            fleet.darken(number)
        time.sleep(SUBMIT_AFTER_S)
        deployment.call("POST", owner, f"5c0e7a21d94b31{number:02x}", JOB)
        time.sleep(DARK_S - SUBMIT_AFTER_S)
        if busy:
            fleet.lighten(number)
        time.sleep(max(began_s + ROUND_S - time.monotonic(), 0))
    time.sleep(1.0)
    for number in range(ROUNDS):
        deployment.call("GET", owner, f"5c0e7a21d94b31{number:02x}")
    return case.BROKEN if fleet.twice else case.HELD


if __name__ == "__main__":
    case.main(__file__, play)
