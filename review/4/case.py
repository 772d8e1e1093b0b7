"""One submission in twenty needs more memory than any executor has."""

from __future__ import annotations

import time
from typing import Any

from rig import case
from rig import executor as executor_module
from rig import host as host_module

EXECUTORS = 6
MILLICORES = 32_000
TASK_MILLICORES = 3_500
TASK_S = 2.7
SUBMISSIONS = 20
IMAGES = 9
HOPELESS = 0
# An executor has 64,000 MB.
TOO_MUCH_MB = 1_000_000
SENT_OVER_S = 3.0
FINISH_S = host_module.BOUNDS["finish_s"]
IDLE_S = 3.0
WATCHED_S = 12.0


def _step(number: int, **fields: Any) -> dict[str, Any]:
    return {
        "TaskCount": 8,
        "CpuMillicores": TASK_MILLICORES,
        "RequestedMemoryMb": 2_000,
        "EstimatedDurationMs": int(TASK_S * 1_000),
        "Fills": True,
        "Image": f"image-{number % IMAGES}",
        **fields,
    }


def _submission(number: int, has_trouble: bool) -> dict[str, Any]:
    steps = [_step(number)]
    if number == HOPELESS:
        memory_mb = TOO_MUCH_MB if has_trouble else 2_000
        steps = [
            _step(
                number,
                TaskCount=2,
                RequestedMemoryMb=memory_mb,
                EstimatedDurationMs=6_800,
            )
        ]
    return {"Specification": f"stack {number}", "JobSteps": steps}


def _watch(
    deployment: case.Deployment,
    host: host_module.Host,
    executors: list[executor_module.Executor],
    job_ids: list[str],
) -> set[str]:
    """Returns the submissions that have nothing running for too long."""
    idle_since_s: dict[str, float] = {}
    broken: set[str] = set()
    states: dict[str, str] = {}

    def read_states() -> None:
        for job_id in job_ids:
            if states.get(job_id) != "completed":
                answer = deployment.call("GET", host, job_id)
                states[job_id] = answer[1]["State"] if answer else ""

    end_s = time.monotonic() + IDLE_S + WATCHED_S
    while time.monotonic() < end_s:
        read_states()
        now_s = time.monotonic()
        running = [task for each in executors for task in each.running()]
        is_room = len(running) * TASK_MILLICORES < EXECUTORS * MILLICORES / 2
        for job_id in job_ids:
            is_running = any(task.startswith(job_id) for task in running)
            if states[job_id] == "completed" or is_running or not is_room:
                idle_since_s.pop(job_id, None)
            elif now_s - idle_since_s.setdefault(job_id, now_s) > IDLE_S:
                broken.add(job_id)
        time.sleep(0.5)
    for job_id in job_ids:
        deployment.record.note(
            "judged",
            job=job_id,
            state=states[job_id],
            has_nothing_running=job_id in broken,
        )
    return broken


def play(deployment: case.Deployment) -> int:
    """Plays the case."""
    deployment.configure()
    executors = [
        deployment.executor(
            executor_module.Spec(
                f"ex-{number}",
                case.SERVICE,
                millicores=MILLICORES,
                # What fills isn't counted against the capacity.
                task_millicores=0,
            ),
            lambda *_: executor_module.Life(TASK_S),
        )
        for number in range(EXECUTORS)
    ]
    hosts = [deployment.host(f"bole-{n}") for n in (1, 2)]
    for host in hosts:
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() != "")
    time.sleep(1.0)

    job_ids = []
    for number in range(SUBMISSIONS):
        job_id = f"{number + 1:016x}"
        answer = deployment.call(
            "POST",
            hosts[number % 2],
            job_id,
            _submission(number, deployment.has_trouble),
        )
        if answer is None or answer[0] != 200:
            raise host_module.CannotRunError(f"{job_id} was not accepted")
        if number != HOPELESS:
            job_ids.append(job_id)
        time.sleep(SENT_OVER_S / SUBMISSIONS)

    time.sleep(FINISH_S)
    broken = _watch(deployment, hosts[0], executors, job_ids)
    return case.BROKEN if broken else case.HELD


case.main(__file__, play)
