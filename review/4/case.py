"""Gangs with checkpoints, one member of each on an executor that is cut off."""

from __future__ import annotations

import time

from rig import case
from rig import executor
from rig import gangs

HOSTS = ("entry-1", "entry-2", "entry-3")
EXECUTORS = 6
# One of six executors (0.17) is cut off, for at most 5.5 s.
CUT_S = 5.4
JOB_IDS = [f"5c0e7a21d94b36f{digit}" for digit in "01234"]
SIZE = 6
TERMS = gangs.Terms(
    size=SIZE, work_s=30.0, interval_s=2.0, restore_s=0.25, timeout_s=3.0
)
# Bounds of the site that differ from those of addis-skyimg.
BOUNDS = {
    "MaxHoldMs": 10_000,
    "StopTimeoutMs": 400,
    "RemotePenalty": 3,
    "CheckpointIntervalS": 2,
    "RestoreMs": 250,
}
# `ContactTimeoutMs`: after the end of the cut, all is calm for so long before a
# run starts that is judged.
CALM_S = 3.0
JOB = {
    "Specification": "a gang",
    "JobSteps": [
        {
            "TaskCount": SIZE,
            "CpuMillicores": 500,
            "EstimatedDurationMs": 30_000,
            "Checkpointing": True,
            "Gang": True,
            "AntiAffinity": 2,
        }
    ],
}


def play(deployment: case.Deployment) -> int:
    """Cuts an executor off while gangs work, and waits for their next runs."""
    board = gangs.Gangs(TERMS)
    paths = [deployment.proxy() for _ in range(EXECUTORS)]
    executors = [
        deployment.executor(
            executor.Spec(f"e{number}", case.SERVICE),
            lambda *_: executor.Life(None),
            listener=board,
            advertise=path,
        )
        for number, path in enumerate(paths)
    ]
    deployment.configure()
    hosts = {name: deployment.host(name, bounds=BOUNDS) for name in HOSTS}
    for host in hosts.values():
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() in hosts)
    time.sleep(3.0)
    owner = hosts[deployment.owner()]
    for job_id in JOB_IDS:
        accepted = deployment.call("POST", owner, job_id, JOB)
        deployment.require(
            "the submission is accepted",
            lambda accepted=accepted: (
                accepted is not None and accepted[0] == 200
            ),
            0,
        )
        time.sleep(0.35)
    tasks = SIZE * len(JOB_IDS)
    deployment.require(
        "all tasks run",
        lambda: sum(len(each.running()) for each in executors) == tasks,
    )
    time.sleep(8.0)
    if deployment.has_trouble:
        paths[0].cut()
        deployment.record.note("cut", executor="e0", span="from all hosts")
    time.sleep(CUT_S)
    if deployment.has_trouble:
        paths[0].heal()
        deployment.record.note("heal", executor="e0")
    healed_s = time.monotonic()
    time.sleep(32.0)
    for job_id in JOB_IDS:
        deployment.call("GET", owner, job_id)
    late = [
        end for end in board.alone_ends if end.started_s > healed_s + CALM_S
    ]
    noted: set[tuple[str, int]] = set()
    for end in late:
        gang = end.task.rpartition(".")[0]
        if (gang, end.number) in noted:
            continue
        noted.add((gang, end.number))
        deployment.record.note(
            "alone",
            gang=gang,
            run=end.number,
            checkpoints=",".join(
                f"{task.rpartition('.')[2]}:{text or '-'}"
                for task, text in sorted(end.checkpoints.items())
            ),
        )
    deployment.record.note("done", gangs=len(board.done))
    return case.BROKEN if late else case.HELD


if __name__ == "__main__":
    case.main(__file__, play)
