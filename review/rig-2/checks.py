"""Checks of the rules on what the stand-ins have seen."""

from __future__ import annotations

import asyncio

import deployment

# LOST: nothing of a submission runs for this long beside free executors.
IDLE_S = 3.0
WATCH_S = 8.0


def total_millicores(deployed: deployment.Deployment) -> int:
    """Processors of all executors that are up."""
    return sum(
        executor.capacity["CpuMillicores"]
        for executor in deployed.executors
        if executor.is_up
    )


def used_millicores(deployed: deployment.Deployment) -> int:
    """Processors that are in use."""
    return sum(
        running.cpu
        for executor in deployed.executors
        for running in executor.running.values()
    )


def _has_room(deployed: deployment.Deployment, millicores: int) -> bool:
    """Whether there is room twice over, and under half of all is in use."""
    total, used = total_millicores(deployed), used_millicores(deployed)
    return total - used >= 2 * millicores and used < total / 2


async def find_idle(
    deployed: deployment.Deployment, requested: dict[str, int]
) -> list[str]:
    """Returns unfinished submissions of which nothing runs for IDLE_S.

    Args:
        deployed: The deployment.
        requested: Processors that a task of a submission requests, by its id.
    """
    idle_since_s: dict[str, float] = {}
    longest_s: dict[str, float] = {}
    end_s = deployed.now_s + WATCH_S
    while deployed.now_s < end_s:
        running = {
            task.partition(".")[0]
            for executor in deployed.executors
            for task in executor.running
        }
        for job_id, millicores in requested.items():
            if job_id in running or not _has_room(deployed, millicores):
                idle_since_s.pop(job_id, None)
                continue
            since_s = idle_since_s.setdefault(job_id, deployed.now_s)
            longest_s[job_id] = max(
                longest_s.get(job_id, 0.0), deployed.now_s - since_s
            )
        await asyncio.sleep(0.1)
    idle = []
    for job_id in requested:
        state = await deployed.state(job_id)
        if state != "completed" and longest_s.get(job_id, 0.0) >= IDLE_S:
            idle.append(job_id)
            deployed.note(
                "idle",
                job=job_id,
                state=state,
                for_s=round(longest_s[job_id], 1),
                used_millicores=used_millicores(deployed),
            )
    return idle


def overlaps(
    deployed: deployment.Deployment,
) -> list[tuple[str, float, dict[str, object], dict[str, object]]]:
    """Returns runs of one task that ran at the same time, and for how long."""
    open_runs: dict[str, list[dict[str, object]]] = {}
    found = []
    for event in deployed.events:
        task = str(event.get("task", ""))
        runs = open_runs.setdefault(task, [])
        if event["event"] == "start":
            runs.append(event)
        elif event["event"] in ("end", "lost"):
            ended = [
                run
                for run in runs
                if (run["run"], run["executor"])
                == (event["run"], event["executor"])
            ]
            for run in ended:
                runs.remove(run)
                for other in runs:
                    begun_s = max(run["at_s"], other["at_s"])
                    found.append((task, event["at_s"] - begun_s, run, other))
    return found


def starts_after_done(
    deployed: deployment.Deployment,
) -> list[tuple[dict[str, object], dict[str, object]]]:
    """Returns ends `done` that were taken note of, each with a later start.

    The end may be taken note of before that start or after it. An executor
    whose lease lapsed between an end and the note is left out.
    """
    taken: dict[tuple[object, object, object], dict[str, object]] = {}
    for event in deployed.seen("taken", how="done"):
        taken[event["executor"], event["task"], event["run"]] = event
    done: dict[str, dict[str, object]] = {}
    found = []
    for event in deployed.events:
        task = str(event.get("task", ""))
        if event["event"] == "end" and event["how"] == "done":
            key = (event["executor"], task, event["run"])
            if key in taken and not _has_lapsed(deployed, event, taken[key]):
                done.setdefault(task, event)
        elif event["event"] == "start" and task in done:
            found.append((done[task], event))
    return found


def _has_lapsed(
    deployed: deployment.Deployment,
    end: dict[str, object],
    taken: dict[str, object],
) -> bool:
    return any(
        end["at_s"] <= lapse["at_s"] <= taken["at_s"]
        for lapse in deployed.seen("lapsed", executor=end["executor"])
    )
