"""Queued jobs by team, taken in the order of the teams' shares."""

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

# Jobs of one team looked at behind one that finds no room.
BACKFILL_DEPTH = 32
FULL_SHARE_MILLI = 1_000
NO_QUOTA_SHARE_MILLI = 1_000_000


def dominant_share_milli(
    used: workers.Resources, quota: workers.Resources
) -> int:
    """Largest used part of a quota over its dimensions, in thousandths."""
    parts = [
        _share_milli(used.processors_milli, quota.processors_milli),
        _share_milli(used.memory_mib, quota.memory_mib),
        _share_milli(used.accelerators, quota.accelerators),
    ]
    return max(parts)


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
    """Queued jobs and what each team uses. Used by one thread.

    Urgent jobs come first. Among the rest the team that uses the smallest
    part of its quota comes first; a team above its quota may only borrow
    what no team within its quota asks for.
    """

    def __init__(self) -> None:
        self._teams: dict[str, _TeamQueue] = {}
        self._team_by_job: dict[str, str] = {}
        self._used: dict[str, workers.Resources] = {}
        self._usage_by_job: dict[str, tuple[str, workers.Resources]] = {}
        self._quotas: Mapping[str, objects.Team] = {}

    def __len__(self) -> int:
        return len(self._team_by_job)

    def set_teams(self, teams: Mapping[str, objects.Team]) -> None:
        """Puts other quotas in force."""
        self._quotas = teams

    def add(self, state: job_state.JobState) -> None:
        """Queues a job; a requeued one takes its old place again."""
        job = state.spec.id
        self.discard(job)
        team = self._teams.setdefault(state.spec.team, _TeamQueue())
        queue = team.urgent if state.spec.urgent else team.normal
        queue[job] = state
        if state.attempt > 0:
            queue.move_to_end(job, last=False)
        self._team_by_job[job] = state.spec.team

    def discard(self, job: str) -> None:
        """Takes a job out of the queue, if it is there."""
        name = self._team_by_job.pop(job, None)
        if name is None:
            return
        team = self._teams[name]
        team.urgent.pop(job, None)
        team.normal.pop(job, None)
        if not team.urgent and not team.normal:
            del self._teams[name]

    def add_usage(self, job: str, team: str, size: workers.Resources) -> None:
        """Counts a placed job against its team."""
        self.remove_usage(job)
        self._usage_by_job[job] = (team, size)
        used = self._used.get(team, capacity.NO_RESOURCES)
        self._used[team] = capacity.add(used, size)

    def remove_usage(self, job: str) -> None:
        """Stops counting a job against its team."""
        held = self._usage_by_job.pop(job, None)
        if held is None:
            return
        team, size = held
        self._used[team] = capacity.subtract(self._used[team], size)
        if self._used[team] == capacity.NO_RESOURCES:
            del self._used[team]

    def quota_share_milli(self, team: str) -> int:
        """Part of its quota that a team uses, in thousandths."""
        used = self._used.get(team, capacity.NO_RESOURCES)
        quota = self._quotas.get(team)
        return dominant_share_milli(
            used, quota.quota if quota else capacity.NO_RESOURCES
        )

    def quota_share_milli_with(self, team: str, size: workers.Resources) -> int:
        """Part of its quota that a team would use with one more job."""
        used = capacity.add(self._used.get(team, capacity.NO_RESOURCES), size)
        quota = self._quotas.get(team)
        return dominant_share_milli(
            used, quota.quota if quota else capacity.NO_RESOURCES
        )

    def may_borrow(self, team: str) -> bool:
        """Whether a team may go above its quota."""
        quota = self._quotas.get(team)
        return quota is None or quota.may_borrow

    def urgent(self) -> Iterator[job_state.JobState]:
        """Urgent jobs, each team's in its order."""
        for name in list(self._teams):
            team = self._teams.get(name)
            if team is not None and team.urgent:
                yield from list(team.urgent.values())

    def fair_order(self) -> Iterator[job_state.JobState]:
        """Other jobs, the team with the smallest share first.

        The consumer places or skips each job before it asks for the next;
        shares are read again after each. At most `BACKFILL_DEPTH` jobs of a
        team are skipped in a row before the team is left for this round.
        """
        heap = [(self.quota_share_milli(name), name) for name in self._teams]
        heapq.heapify(heap)
        skipped_by_team: dict[str, set[str]] = {}
        while heap:
            _, name = heapq.heappop(heap)
            skipped = skipped_by_team.setdefault(name, set())
            state = self._next_job(name, skipped)
            if state is None:
                continue
            yield state
            if state.spec.id in self._team_by_job:
                skipped.add(state.spec.id)
                if len(skipped) >= BACKFILL_DEPTH:
                    continue
            heapq.heappush(heap, (self.quota_share_milli(name), name))

    def _next_job(
        self, name: str, skipped: set[str]
    ) -> job_state.JobState | None:
        team = self._teams.get(name)
        if team is None:
            return None
        for job, state in team.normal.items():
            if job not in skipped:
                return state
        return None
