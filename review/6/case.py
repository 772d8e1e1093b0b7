"""A rack of executors crashes under a wide step."""

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

RACK_COUNT = 3
RACK_SIZE = 8
WIDE = "00000000000000aa"
# A sixth of all processors.
TASK_COUNT = 860
TASK_CPU = 150
TASK_MS = 12_000
# Other work, which fills two of the racks.
OTHER = "00000000000000bb"
OTHER_COUNT = 256
OTHER_CPU = 2_000
CRASH_AFTER_S = 2.0
DOWN_S = 4.0
PROBE_COUNT = 6
PROBE_CPU = 500
FINISH_S = 14.0


def build(deployed: deployment.Deployment) -> None:
    """Adds the executors, rack by rack."""
    for rack in range(1, RACK_COUNT + 1):
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
                "CpuMillicores": PROBE_CPU,
                "RequestedMemoryMb": 256,
                "EstimatedDurationMs": 500,
            }
        ],
        f"{PROBE_CPU}:500",
    )
    return job_id if status == 200 else ""


async def crash_rack(deployed: deployment.Deployment) -> None:
    """All executors of the rack with the step crash; others follow them."""
    racks = [
        deployed.executors[begin : begin + RACK_SIZE]
        for begin in range(0, len(deployed.executors), RACK_SIZE)
    ]
    rack = max(racks, key=lambda rack: sum(len(one.running) for one in rack))
    for executor in rack:
        executor.crash()
    await asyncio.sleep(DOWN_S)
    for number, executor in enumerate(rack):
        await executor.boot(f"i-9{number:09x}")


async def play(deployed: deployment.Deployment, has_trouble: bool) -> int:
    """Plays the case; returns its exit code."""
    build(deployed)
    await deployed.start(host_count=3)
    accepted = [await probe(deployed, 1)]
    statuses = []
    for job_id, count, cpu in (
        (OTHER, OTHER_COUNT, OTHER_CPU),
        (WIDE, TASK_COUNT, TASK_CPU),
    ):
        step = {
            "TaskCount": count,
            "CpuMillicores": cpu,
            "RequestedMemoryMb": 128,
            "EstimatedDurationMs": TASK_MS,
        }
        text = f"{cpu}:{TASK_MS}"
        statuses.append(await deployed.submit(job_id, [step], text))
        await asyncio.sleep(1.0)
    if statuses != [200, 200]:
        return deployment.NOT_RUN
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble:
        await crash_rack(deployed)
    else:
        await asyncio.sleep(DOWN_S)
    for number in range(PROBE_COUNT):
        accepted.append(await probe(deployed, 2 + number))
        await asyncio.sleep(1.0)
    requested = dict.fromkeys(filter(None, accepted), PROBE_CPU)
    requested |= {OTHER: OTHER_CPU, WIDE: TASK_CPU}
    await asyncio.sleep(FINISH_S)
    if not has_trouble:
        await asyncio.sleep(2 * TASK_MS / 1_000)
    idle = await checks.find_idle(deployed, requested)
    deployed.note(
        "refused-appends",
        sizes=sorted(set(deployed.store.refused_sizes)),
        count=len(deployed.store.refused_sizes),
    )
    return deployment.BROKEN if idle else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run_case(FOLDER, play, HAS_TROUBLE))
