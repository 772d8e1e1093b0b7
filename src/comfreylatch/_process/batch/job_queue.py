"""Queue of jobs by team, in the order of the teams' dominant shares."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import heapq
from typing import final

import attrs

from comfreylatch._ports import workers
from comfreylatch._process.batch import capacity
from comfreylatch._version import job_state
from comfreylatch._version import objects

# Jobs of one team that a round skips for lack of capacity before it leaves the
# team.
BACKFILL_DEPTH = 32
FULL_SHARE_MILLI = 1_000
NO_QUOTA_SHARE_MILLI = 1_000_000


def dominant_share_milli(
    used: workers.Resources, quota: workers.Resources
) -> int:
    """Largest used share of a quota over all dimensions, in thousandths."""
    shares_milli = [
        _share_milli(used.processors_milli, quota.processors_milli),
        _share_milli(used.memory_mib, quota.memory_mib),
        _share_milli(used.accelerators, quota.accelerators),
    ]
    return max(shares_milli)


def _share_milli(used: int, quota: int) -> int:
    if used <= 0:
        return 0
    if quota <= 0:
        return NO_QUOTA_SHARE_MILLI
    return used * FULL_SHARE_MILLI // quota


@attrs.define(eq=False)
class _TeamQueue:
    urgent: collections.OrderedDict[str, job_state.JobState] = attrs.field(
        factory=collections.OrderedDict
    )
    normal: collections.OrderedDict[str, job_state.JobState] = attrs.field(
        factory=collections.OrderedDict
    )


@final
class JobQueue:
    """Queued jobs and the resources that each team uses. Not thread-safe.

    Urgent jobs come first. Among the rest the team that uses the smallest
    share of its quota comes first; a team above its quota may only borrow
    what no team within its quota asks for.
    """

    def __init__(self) -> None:
        self._queue_by_team: dict[str, _TeamQueue] = {}
        self._team_by_job: dict[str, str] = {}
        self._usage_by_team: dict[str, workers.Resources] = {}
        self._usage_by_job: dict[str, tuple[str, workers.Resources]] = {}
        self._configured_teams: Mapping[str, objects.Team] = {}

    def __len__(self) -> int:
        return len(self._team_by_job)

    def set_teams(self, teams: Mapping[str, objects.Team]) -> None:
        """Replaces the teams and their quotas."""
        self._configured_teams = teams

    def add(self, state: job_state.JobState) -> None:
        """Queues a job; one that was started before goes to the front."""
        job = state.spec.id
        self.discard(job)
        team_queue = self._queue_by_team.setdefault(
            state.spec.team, _TeamQueue()
        )
        queue = team_queue.urgent if state.spec.urgent else team_queue.normal
        queue[job] = state
        if state.attempt > 0:
            queue.move_to_end(job, last=False)
        self._team_by_job[job] = state.spec.team

    def discard(self, job: str) -> None:
        """Removes a job from the queue, if present."""
        team = self._team_by_job.pop(job, None)
        if team is None:
            return
        team_queue = self._queue_by_team[team]
        team_queue.urgent.pop(job, None)
        team_queue.normal.pop(job, None)
        if not team_queue.urgent and not team_queue.normal:
            del self._queue_by_team[team]

    def add_usage(self, job: str, team: str, size: workers.Resources) -> None:
        """Counts the resources of a placed job as used by its team."""
        self.remove_usage(job)
        self._usage_by_job[job] = (team, size)
        used = self._usage_by_team.get(team, capacity.NO_RESOURCES)
        self._usage_by_team[team] = capacity.add(used, size)

    def remove_usage(self, job: str) -> None:
        """Stops counting the resources of a job as used by its team."""
        usage = self._usage_by_job.pop(job, None)
        if usage is None:
            return
        team, size = usage
        self._usage_by_team[team] = capacity.subtract(
            self._usage_by_team[team], size
        )
        if self._usage_by_team[team] == capacity.NO_RESOURCES:
            del self._usage_by_team[team]

    def quota_share_milli(self, team: str) -> int:
        """Share of its quota that a team uses, in thousandths."""
        used = self._usage_by_team.get(team, capacity.NO_RESOURCES)
        configured = self._configured_teams.get(team)
        return dominant_share_milli(
            used, configured.quota if configured else capacity.NO_RESOURCES
        )

    def quota_share_milli_with(self, team: str, size: workers.Resources) -> int:
        """Share of its quota that a team would use with one more job."""
        used = capacity.add(
            self._usage_by_team.get(team, capacity.NO_RESOURCES), size
        )
        configured = self._configured_teams.get(team)
        return dominant_share_milli(
            used, configured.quota if configured else capacity.NO_RESOURCES
        )

    def may_borrow(self, team: str) -> bool:
        """Whether a team may exceed its quota."""
        configured = self._configured_teams.get(team)
        return configured is None or configured.may_borrow

    def urgent(self) -> Iterator[job_state.JobState]:
        """Iterates over urgent jobs, those of each team in queue order."""
        for team in list(self._queue_by_team):
            team_queue = self._queue_by_team.get(team)
            if team_queue is not None and team_queue.urgent:
                yield from list(team_queue.urgent.values())

    def fair_order(self) -> Iterator[job_state.JobState]:
        """Iterates over other jobs, the team with the smallest share first.

        The consumer places or skips each job before it requests the next;
        shares are recomputed after each. A team of which `BACKFILL_DEPTH` jobs
        have been skipped is left out for the rest of the round.
        """
        heap = [
            (self.quota_share_milli(team), team) for team in self._queue_by_team
        ]
        heapq.heapify(heap)
        skipped_by_team: dict[str, set[str]] = {}
        while heap:
            _, team = heapq.heappop(heap)
            skipped = skipped_by_team.setdefault(team, set())
            state = self._next_job(team, skipped)
            if state is None:
                continue
            yield state
            if state.spec.id in self._team_by_job:
                skipped.add(state.spec.id)
                if len(skipped) >= BACKFILL_DEPTH:
                    continue
            heapq.heappush(heap, (self.quota_share_milli(team), team))

    def _next_job(
        self, team: str, skipped: set[str]
    ) -> job_state.JobState | None:
        team_queue = self._queue_by_team.get(team)
        if team_queue is None:
            return None
        for job, state in team_queue.normal.items():
            if job not in skipped:
                return state
        return None
