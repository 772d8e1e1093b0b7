"""A steady load, and an executor that is dark for a moment."""

from __future__ import annotations

import asyncio

import deployment
import executor as executor_module

EXECUTOR_COUNT = 8
SUBMIT_INTERVAL_S = 0.05
BEFORE_S = 3.0
AFTER_S = 4.0
CPU = 400
# How long the executor is away.
DOWN_S = 0.4
# Time from the boot until the store has the entry; an executor writes its entry
# about every 1.5 s.
ENTRY_DELAY_S = 1.0


async def _submit(
    deployed: deployment.Deployment, stop: asyncio.Event, duration_ms: int
) -> list[str]:
    """Hands in a submission of one task at each interval."""
    accepted = []
    pending = set()
    number = 0
    while not stop.is_set():
        number += 1
        job_id = f"{number:016x}"
        step = {
            "TaskCount": 1,
            "CpuMillicores": CPU,
            "RequestedMemoryMb": 256,
            "EstimatedDurationMs": duration_ms,
        }
        call = asyncio.create_task(
            deployed.submit(job_id, [step], f"{CPU}:{duration_ms}")
        )
        pending.add(call)
        accepted.append(job_id)
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    await asyncio.gather(*pending)
    return accepted


def busiest(deployed: deployment.Deployment) -> executor_module.Executor:
    """Returns the executor that got the last start."""
    name = deployed.seen("start")[-1]["executor"]
    return next(one for one in deployed.executors if one.name == name)


async def play(
    deployed: deployment.Deployment,
    has_trouble: bool,
    duration_ms: int,
    cold_delay_s: float,
) -> list[str]:
    """Plays the load and the crash; returns what was handed in."""
    for number in range(EXECUTOR_COUNT):
        deployed.add_executor(f"i-{number:010x}", Labels=["a", "r1-1"])
    await deployed.start(host_count=3)
    stop = asyncio.Event()
    load = asyncio.create_task(_submit(deployed, stop, duration_ms))
    await asyncio.sleep(BEFORE_S)
    if has_trouble:
        target = busiest(deployed)
        target.crash(dark=True)
        await asyncio.sleep(DOWN_S)
        target.reply_delay_s = cold_delay_s
        target.cold_s = AFTER_S if cold_delay_s else 0.0
        await target.boot(entry_delay_s=ENTRY_DELAY_S)
    await asyncio.sleep(AFTER_S)
    for executor in deployed.executors:
        executor.reply_delay_s = executor.cold_s = 0.0
    stop.set()
    accepted = await load
    await asyncio.sleep(2 * duration_ms / 1_000 + 4.0)
    return accepted
