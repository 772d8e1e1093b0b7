"""A lasting task of a queue with a policy fails once, beside five others."""

from __future__ import annotations

import collections
import json
import time

from rig import case
from rig import executor as executor_module
from rig import host as host_module
from rig import web

EXECUTORS = 8
TASKS = 6
JOB = "00000000000000aa"
# A lasting task without a run counts as lost from 6 s after its last run, if
# that lasts for 3 s.
AWAY_S = 6.0
IDLE_S = 3.0
WATCHED_S = 20.0
ADVICE = {"DecisionMs": 60, "PerWorkerMs": 4, "ValidityMs": 4_000}
SUBMISSION = {
    "Specification": "night alignment",
    "JobSteps": [
        {
            "TaskCount": TASKS,
            "CpuMillicores": 500,
            "RequestedMemoryMb": 256,
            "EstimatedDurationMs": 500,
            "Perpetual": True,
            "AntiAffinity": 1,
        }
    ],
}


class _Starts(executor_module.RunListener):
    """Notes the number of each task's last run."""

    def __init__(self) -> None:
        self.numbers: dict[str, int] = {}

    def joined(
        self,
        executor: executor_module.Executor,
        task: str,
        number: int,
        checkpoint: str,
    ) -> None:
        """See `RunListener.joined`."""
        del executor, checkpoint
        self.numbers[task] = number


class _Advice:
    """Stand-in of the advice service; its policy allows every executor."""

    def __init__(self, deployment: case.Deployment) -> None:
        self._record = deployment.record
        self.first_named: list[str] = []
        self.server = web.Server(self._handle)

    def _handle(self, request: web.Request) -> web.Reply:
        body = json.loads(request.body)
        workers = body["Workers"]
        self.first_named = self.first_named or workers
        time.sleep(
            (ADVICE["DecisionMs"] + ADVICE["PerWorkerMs"] * len(workers))
            / 1_000
        )
        self._record.note(
            "advised", step=body["Step"], workers=",".join(workers)
        )
        allowed = [[worker, f"ticket-{worker}"] for worker in workers]
        return web.json_reply(
            200, {"Allowed": allowed, "ValidityMs": ADVICE["ValidityMs"]}
        )


def play(deployment: case.Deployment) -> int:
    """Plays the case."""
    deployment.configure(Recommendation=ADVICE)
    advice = _Advice(deployment)
    starts = _Starts()
    executors = [
        deployment.executor(
            executor_module.Spec(f"ex-{number}", case.SERVICE),
            lambda *_: executor_module.Life(None),
            listener=starts,
        )
        for number in range(EXECUTORS)
    ]
    hosts = [
        deployment.host(f"bole-{n}", advice_address=advice.server.address)
        for n in (1, 2)
    ]
    for host in hosts:
        host.wait_until_ready()
    deployment.require("an owner", lambda: deployment.owner() != "")

    def running() -> dict[str, executor_module.Executor]:
        return {task: each for each in executors for task in each.running()}

    answer = deployment.call("POST", hosts[0], JOB, SUBMISSION)
    if answer is None or answer[0] != 200:
        raise host_module.CannotRunError("it was not accepted")
    tasks = [f"{JOB}.0.0.{index}" for index in range(TASKS)]
    deployment.require("all tasks", lambda: set(running()) == set(tasks))
    # Until the tickets of the first starts have expired.
    time.sleep(ADVICE["ValidityMs"] / 1_000 + 2.0)
    if deployment.has_trouble:
        # The one on the executor that the owner has named last.
        task, executor = max(
            running().items(),
            key=lambda pair: advice.first_named.index(pair[1].spec.executor_id),
        )
        executor.end_run(task, starts.numbers[task], "failed")

    last_run_s = dict.fromkeys(tasks, time.monotonic())
    lost: dict[str, float] = collections.defaultdict(float)
    end_s = time.monotonic() + WATCHED_S
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        last_run_s.update(dict.fromkeys(running(), now_s))
        for task in tasks:
            away_s = now_s - last_run_s[task]
            if away_s > AWAY_S + IDLE_S:
                lost[task] = max(lost[task], away_s)
        time.sleep(0.05)
    for task, away_s in lost.items():
        deployment.record.note("judged", task=task, away_s=round(away_s, 1))
    return case.BROKEN if lost else case.HELD


case.main(__file__, play)
