"""All hosts are killed at once while the tasks of a wide step end."""

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

EXECUTOR_COUNT = 4
WORK = "00000000000000aa"
# 1,200 tasks on each executor, which use most of its processors.
TASK_COUNT = 4_800
TASK_CPU = 25
ESTIMATED_MS = 30_000
START_TIMEOUT_S = 40.0
# The tasks end one after the other in this time.
ENDS_WITHIN_S = 1.0
DOWN_S = 1.1
AFTER_S = 20.0


def kill_all(deployed: deployment.Deployment) -> None:
    """Kills all processes."""
    for host in deployed.hosts:
        host.kill()
    deployed.note("killed", hosts=len(deployed.hosts))


def start_all(deployed: deployment.Deployment) -> None:
    """Starts all processes again."""
    for host in deployed.hosts:
        host.start()
    deployed.note("restarted", hosts=len(deployed.hosts))


async def wait_for_starts(deployed: deployment.Deployment) -> bool:
    """Waits until all tasks run; returns whether they do."""
    deadline_s = deployed.now_s + START_TIMEOUT_S
    while deployed.now_s < deadline_s:
        running = sum(len(one.running) for one in deployed.executors)
        if running == TASK_COUNT:
            return True
        await asyncio.sleep(0.1)
    return False


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    for number in range(EXECUTOR_COUNT):
        deployed.add_executor(f"i-{number:010x}", Labels=["a", "r1-1"])
    await deployed.start(host_count=3)
    status = await deployed.submit(
        WORK,
        [
            {
                "TaskCount": TASK_COUNT,
                "CpuMillicores": TASK_CPU,
                "RequestedMemoryMb": 64,
                "EstimatedDurationMs": ESTIMATED_MS,
            }
        ],
        f"{TASK_CPU}:{ESTIMATED_MS}",
    )
    if status != 200:
        return deployment.NOT_RUN
    if not await wait_for_starts(deployed):
        return deployment.NOT_RUN
    if has_trouble:
        kill_all(deployed)
    for executor in deployed.executors:
        executor.end_all(ENDS_WITHIN_S)
    await asyncio.sleep(DOWN_S)
    if has_trouble:
        start_all(deployed)
    await asyncio.sleep(AFTER_S)
    again = checks.starts_after_done(deployed)
    deployed.note("twice-counted", tasks=len(again))
    for taken, start in again[:20]:
        deployed.note("twice", taken=taken, start=start)
    return deployment.BROKEN if again else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play, HAS_TROUBLE))
