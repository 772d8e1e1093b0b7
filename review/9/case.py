"""An executor is lost for good while a filling task requests no processors."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

# With TROUBLE=0 the same is played without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import checks  # noqa: E402
import deployment  # noqa: E402

EXECUTOR_COUNT = 8
FILLING = "00000000000000ff"
FILLING_MS = 70_000
# Processors that the filling task gets, as others leave them unused.
FILLING_USE = 700
WORK = "00000000000000aa"
WORK_CPU = 2_000
WORK_MS = 15_000
LOST_AFTER_S = 4.0
FINISH_S = 14.0


def build(deployed: deployment.Deployment) -> None:
    """Adds executors of two kinds; one is of the second."""
    for number in range(EXECUTOR_COUNT):
        kind = "b" if number == 0 else "a"
        added = deployed.add_executor(f"i-{number:010x}", Labels=[kind, "r1-1"])
        added.reading = lambda task: (
            FILLING_USE if task.startswith(FILLING) else WORK_CPU
        )


async def wait_for_start(
    deployed: deployment.Deployment, job_id: str
) -> str | None:
    """Returns the executor that runs a submission's first task."""
    deadline_s = deployed.now_s + 10
    while deployed.now_s < deadline_s:
        if starts := deployed.seen("start", task=f"{job_id}.0.0.0"):
            return str(starts[-1]["executor"])
        await asyncio.sleep(0.05)
    return None


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    build(deployed)
    await deployed.start(host_count=3)
    # `CpuMillicores` is 0, so it is left out.
    filling = {
        "TaskCount": 1,
        "RequestedMemoryMb": 256,
        "EstimatedDurationMs": FILLING_MS,
        "Image": "scan",
        "Fills": True,
        "Requirements": "b",
    }
    work = {
        "TaskCount": 1,
        "CpuMillicores": WORK_CPU,
        "RequestedMemoryMb": 256,
        "EstimatedDurationMs": WORK_MS,
        "Requirements": "a",
    }
    statuses = [
        await deployed.submit(FILLING, [filling], f"0:{FILLING_MS}"),
        await deployed.submit(WORK, [work], f"{WORK_CPU}:{WORK_MS}"),
    ]
    name = await wait_for_start(deployed, WORK)
    if statuses != [200, 200] or name is None:
        return deployment.NOT_RUN
    await asyncio.sleep(LOST_AFTER_S)
    if has_trouble:
        lost = next(one for one in deployed.executors if one.name == name)
        lost.crash()
        deployed.executors.remove(lost)
    await asyncio.sleep(2 * FINISH_S)
    idle = await checks.find_idle(deployed, {WORK: WORK_CPU})
    for host in deployed.hosts:
        failures = host.events("owner-failed")
        deployed.note("owner-failed", host=host.name, count=len(failures))
    return deployment.BROKEN if idle else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play, HAS_TROUBLE))
