"""A rack of executors crashes under a wide step."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "rig-2"))

import checks  # noqa: E402
import deployment  # noqa: E402

RACK_SIZE = 8
WIDE = "00000000000000aa"
TASK_COUNT = 2_560
TASK_CPU = 150
TASK_MS = 12_000
CRASH_AFTER_S = 3.0
DOWN_S = 4.0
PROBE_COUNT = 6
FINISH_S = 14.0


def build(deployed: deployment.Deployment) -> None:
    """Adds two racks of executors."""
    for rack in (1, 2):
        for number in range(RACK_SIZE):
            deployed.add_executor(
                f"i-{rack}{number:09x}", Labels=["a", f"r1-{rack}"]
            )


async def probe(deployed: deployment.Deployment, number: int) -> str:
    """Hands in a small submission; returns its id if it was accepted."""
    job_id = f"{number:016x}"
    status = await deployed.submit(
        job_id,
        [
            {
                "TaskCount": 1,
                "CpuMillicores": 500,
                "RequestedMemoryMb": 256,
                "EstimatedDurationMs": 500,
            }
        ],
        "500:500",
    )
    return job_id if status == 200 else ""


async def crash_rack(deployed: deployment.Deployment) -> None:
    """All executors of a rack crash and start again, as others."""
    rack = deployed.executors[RACK_SIZE:]
    for executor in rack:
        executor.crash()
    await asyncio.sleep(DOWN_S)
    for number, executor in enumerate(rack):
        await executor.boot(f"i-3{number:09x}")


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    build(deployed)
    await deployed.start(host_count=3)
    accepted = [await probe(deployed, 1)]
    status = await deployed.submit(
        WIDE,
        [
            {
                "TaskCount": TASK_COUNT,
                "CpuMillicores": TASK_CPU,
                "RequestedMemoryMb": 128,
                "EstimatedDurationMs": TASK_MS,
            }
        ],
        f"{TASK_CPU}:{TASK_MS}",
    )
    if status != 200:
        return deployment.NOT_RUN
    accepted.append(WIDE)
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble:
        await crash_rack(deployed)
    else:
        await asyncio.sleep(DOWN_S)
    for number in range(PROBE_COUNT):
        accepted.append(await probe(deployed, 2 + number))
        await asyncio.sleep(1.0)
    accepted = [job_id for job_id in accepted if job_id]
    await asyncio.sleep(FINISH_S)
    if not has_trouble:
        await asyncio.sleep(2 * TASK_MS / 1_000)
    idle = await checks.find_idle(deployed, accepted)
    deployed.note("refused-appends", sizes=deployed.store.refused_sizes[:5])
    return deployment.BROKEN if idle else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play))
