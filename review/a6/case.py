"""An executor is lost for good, and the owner is killed 3 s later."""

from __future__ import annotations

import time

from rig import case
from rig import executor as executor_module
from rig import host as host_module

EXECUTORS = 8
TASKS = 8
JOB = "00000000000000aa"
KILLED_AFTER_S = 3.0
RESTARTED_AFTER_S = 0.3
AWAY_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0
WATCHED_S = 16.0
SUBMISSION = {
    "Specification": "night alignment",
    "JobSteps": [
        {
            "TaskCount": TASKS,
            "CpuMillicores": 500,
            "RequestedMemoryMb": 256,
            "EstimatedDurationMs": 500,
            "Perpetual": True,
            "AntiAffinity": 2,
        }
    ],
}


def play(deployment: case.Deployment) -> int:
    """Plays the case."""
    deployment.configure()
    executors = [
        deployment.executor(
            executor_module.Spec(f"ex-{number}", case.SERVICE),
            lambda *_: executor_module.Life(None),
        )
        for number in range(EXECUTORS)
    ]
    hosts = [deployment.host(f"bole-{n}") for n in (1, 2, 3)]
    for host in hosts:
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() != "")

    def running() -> dict[str, executor_module.Executor]:
        return {task: each for each in executors for task in each.running()}

    answer = deployment.call("POST", hosts[0], JOB, SUBMISSION)
    if answer is None or answer[0] != 200:
        raise host_module.CannotRunError("it was not accepted")
    tasks = [f"{JOB}.0.0.{index}" for index in range(TASKS)]
    deployment.require("all tasks", lambda: set(running()) == set(tasks))
    time.sleep(3.0)
    last_run_s = dict.fromkeys(tasks, time.monotonic())
    disturbed_s = time.monotonic()
    next(iter(running().values())).crash()
    if deployment.has_trouble:
        time.sleep(KILLED_AFTER_S)
        owner = deployment.owner()
        deployment.record.note("kill", host=owner)
        (host,) = [each for each in hosts if each.name == owner]
        last_run_s.update(dict.fromkeys(running(), time.monotonic()))
        host.kill()
        time.sleep(RESTARTED_AFTER_S)
        host.start()
        disturbed_s = time.monotonic()
    lost: dict[str, float] = {}
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        last_run_s.update(dict.fromkeys(running(), now_s))
        for task in tasks:
            from_s = max(last_run_s[task] + AWAY_S, disturbed_s + CALM_S)
            if now_s - from_s > IDLE_S:
                lost[task] = now_s - last_run_s[task]
        time.sleep(0.05)
    for task, away_s in lost.items():
        deployment.record.note("judged", task=task, away_s=round(away_s, 1))
    return case.BROKEN if lost else case.HELD


case.main(__file__, play)
