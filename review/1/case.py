"""An entry of another writer in the list of executors."""

from __future__ import annotations

import time

from rig import case
from rig import executor

HOSTS = ("entry-1", "entry-2", "entry-3")
EXECUTORS = 4
JOB_ID = "5c0e7a21d94b36f8"
TASKS = 4
TASK_S = 12.0
JOB = {
    "Specification": "four tasks",
    "JobSteps": [
        {
            "TaskCount": TASKS,
            "CpuMillicores": 500,
            "EstimatedDurationMs": 12_000,
            "AntiAffinity": 1,
        }
    ],
}


def overlaps(executors: list[executor.Executor]) -> dict[str, list[str]]:
    """Returns the tasks with more than one run, and where they run."""
    places: dict[str, list[str]] = {}
    for each in executors:
        if each.is_up:
            for task in each.running():
                places.setdefault(task, []).append(each.spec.executor_id)
    return {task: ids for task, ids in places.items() if len(ids) > 1}


def play(deployment: case.Deployment) -> int:
    """Writes the entry while tasks run, and looks where they run then."""
    executors = [
        deployment.executor(
            executor.Spec(f"e{number}", case.SERVICE),
            lambda *_: executor.Life(TASK_S),
        )
        for number in range(EXECUTORS + 1)
    ]
    deployment.configure()
    hosts = {name: deployment.host(name) for name in HOSTS}
    for host in hosts.values():
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() in hosts)
    time.sleep(3.0)
    owner = hosts[deployment.owner()]
    accepted = deployment.call("POST", owner, JOB_ID, JOB)
    deployment.require(
        "the submission is accepted",
        lambda: accepted is not None and accepted[0] == 200,
        0,
    )
    deployment.require(
        "all tasks run",
        lambda: sum(len(each.running()) for each in executors) == TASKS,
    )
    time.sleep(3.0)
    busy = next(each for each in executors if each.running())
    if deployment.has_trouble:
        # Well-formed, but of a service that no configuration names.
        deployment.store.write(
            "servers",
            "probe-17",
            {
                "Service": "node-probe",
                "Address": busy.address,
                "Zone": busy.spec.zone,
                "Version": "1",
                "Slots": 1,
                "State": "ready",
                "ColdRemainingMs": 0,
                "Sequence": 1,
                "Capacity": {"CpuMillicores": 0, "RequestedMemoryMb": 0},
                "Labels": [],
                "born": int(time.time() * 1_000),
            },
        )
        deployment.record.note(
            "foreign-entry",
            key="probe-17",
            service="node-probe",
            address_of=busy.spec.executor_id,
        )
    seen: dict[str, list[str]] = {}
    end_s = time.monotonic() + 9
    while time.monotonic() < end_s:
        for task, ids in overlaps(executors).items():
            if task not in seen:
                seen[task] = ids
                deployment.record.note(
                    "two-runs", task=task, executors=",".join(ids)
                )
        time.sleep(0.005)
    time.sleep(5.0)
    deployment.call("GET", owner, JOB_ID)
    return case.BROKEN if seen else case.HELD


if __name__ == "__main__":
    case.main(__file__, play)
