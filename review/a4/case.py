"""A lasting task whose run ends `done` has to be started again."""

from __future__ import annotations

import time

from rig import case
from rig import executor as executor_module
from rig import host as host_module

RUN_S = 3.0
# A lasting task without a run counts as lost from 6 s after its last run, if
# that lasts for 3 s.
AWAY_S = 6.0
IDLE_S = 3.0
WATCHED_S = 16.0
JOB = "00000000000000aa"
SUBMISSION = {
    "Specification": "night alignment",
    "JobSteps": [
        {
            "TaskCount": 2,
            "CpuMillicores": 500,
            "RequestedMemoryMb": 256,
            "EstimatedDurationMs": 500,
            "Perpetual": True,
        }
    ],
}


def play(deployment: case.Deployment) -> int:
    """Plays the case."""
    deployment.configure()
    how = "done" if deployment.has_trouble else "failed"

    def plan(task: str, *_: object) -> executor_module.Life:
        # The other task works on.
        ends = task.endswith(".0")
        return executor_module.Life(RUN_S if ends else None, how)

    executors = [
        deployment.executor(
            executor_module.Spec(f"ex-{number}", case.SERVICE), plan
        )
        for number in range(2)
    ]
    hosts = [deployment.host(f"bole-{n}") for n in (1, 2)]
    for host in hosts:
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() != "")

    answer = deployment.call("POST", hosts[0], JOB, SUBMISSION)
    if answer is None or answer[0] != 200:
        raise host_module.CannotRunError("it was not accepted")
    tasks = [f"{JOB}.0.0.{index}" for index in range(2)]
    last_run_s = dict.fromkeys(tasks, time.monotonic())
    deployment.require(
        "all tasks",
        lambda: (
            {task for each in executors for task in each.running()}
            == set(tasks)
        ),
    )
    lost: set[str] = set()
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        for each in executors:
            last_run_s.update(dict.fromkeys(each.running(), now_s))
        lost.update(
            task for task in tasks if now_s - last_run_s[task] > AWAY_S + IDLE_S
        )
        time.sleep(0.05)
    deployment.call("GET", hosts[0], JOB)
    for task in tasks:
        deployment.record.note("judged", task=task, is_lost=task in lost)
    return case.BROKEN if lost else case.HELD


case.main(__file__, play)
