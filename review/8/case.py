"""All hosts are killed at once while the tasks of a wide step end."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import checks  # noqa: E402
import deployment  # noqa: E402

EXECUTOR_COUNT = 4
WORK = "00000000000000aa"
# 1,200 tasks on each executor, which use most of its processors.
TASK_COUNT = 4_800
TASK_CPU = 25
TASK_MS = 4_000
# The first tasks have ended by then.
KILLED_AFTER_S = 4.5
DOWN_S = 1.5
AFTER_S = 20.0


async def kill_all(deployed: deployment.Deployment) -> None:
    """All processes are killed at once, and start again."""
    for host in deployed.hosts:
        host.kill()
    deployed.note("killed", hosts=len(deployed.hosts))
    await asyncio.sleep(DOWN_S)
    for host in deployed.hosts:
        host.start()
    deployed.note("restarted", hosts=len(deployed.hosts))


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
                "EstimatedDurationMs": TASK_MS,
            }
        ],
        f"{TASK_CPU}:{TASK_MS}",
    )
    if status != 200:
        return deployment.NOT_RUN
    await asyncio.sleep(KILLED_AFTER_S)
    if has_trouble:
        await kill_all(deployed)
    await asyncio.sleep(AFTER_S)
    again = checks.starts_after_done(deployed)
    deployed.note("twice-counted", tasks=len(again))
    for taken, start in again[:20]:
        deployed.note("twice", taken=taken, start=start)
    return deployment.BROKEN if again else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play))
