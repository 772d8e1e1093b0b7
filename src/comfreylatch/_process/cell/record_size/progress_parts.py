"""Divides the progress of large jobs over several records."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import final
from typing import TypeVar

import attrs

from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module

# A crash takes 240 bytes, so that a part fits in 262,144 bytes with 30 of them
# for each task.
TASKS_PER_PART = 32
SEPARATOR = "/"

_Value = TypeVar("_Value")


@final
class ProgressRecords:
    """Encodes the progress of jobs as records that the store accepts.

    The progress of a job is a single record until that would be too long. From
    then on that record tells only which occurrences have ended, and each group
    of tasks of another step has a part of its own. Parts don't depend on each
    other, so that an append may contain some of them only.

    Args:
        value_bytes: Longest value that the store accepts.
    """

    def __init__(self, value_bytes: int) -> None:
        self._value_bytes = value_bytes
        self._parts: dict[str, dict[str, bytes]] = {}

    def restore(self, job_id: str, keys: Iterable[str]) -> None:
        """Notes the parts of a job that a previous owner has stored."""
        parts = dict.fromkeys(keys, b"")
        if parts:
            self._parts[job_id] = parts

    def encode(self, job: runs_module.ActiveJob) -> dict[str, bytes | None]:
        """Returns the records to be written, parts before what replaces them.

        Parts of occurrences that have ended come last, as the record of the job
        tells of these.
        """
        job_id = job.spec.job_id
        progress = job.progress()
        if job_id not in self._parts:
            value = records.encode(progress)
            if len(value) <= self._value_bytes:
                return {job_id: value}
        ended = tuple(_ranges(_ended_occurrences(job)))
        stored = self._parts.get(job_id, {})
        parts = {
            f"{job_id}{SEPARATOR}{name}": records.encode(
                records.ProgressRecord((part,))
            )
            for step in progress.steps
            if not is_ended(step.occurrence, ended)
            for name, part in _divide(step)
        }
        self._parts[job_id] = parts
        writes: dict[str, bytes | None] = {
            key: value
            for key, value in parts.items()
            if stored.get(key) != value
        }
        writes[job_id] = records.encode(
            records.ProgressRecord((), progress.reserved_run, ended)
        )
        writes.update((key, None) for key in stored if key not in parts)
        return writes

    def drop(self, job_id: str) -> dict[str, bytes | None]:
        """Returns the records to be written once a job has ended."""
        parts = self._parts.pop(job_id, {})
        return {job_id: None, **dict.fromkeys(parts)}


def job_of(key: str) -> str:
    """Returns the job whose progress is stored under a key."""
    return key.partition(SEPARATOR)[0]


def merge(parts: Iterable[records.ProgressRecord]) -> records.ProgressRecord:
    """Returns the progress of a job from its records.

    Parts may be left of occurrences that have ended since.
    """
    merged = records.ProgressRecord(())
    for part in parts:
        merged = records.ProgressRecord(
            merged.steps + part.steps,
            max(merged.reserved_run, part.reserved_run),
            merged.ended + part.ended,
        )
    steps = tuple(
        step
        for step in merged.steps
        if not is_ended(step.occurrence, merged.ended)
    )
    return attrs.evolve(merged, steps=steps)


def is_ended(occurrence: int, ended: tuple[tuple[int, int], ...]) -> bool:
    """Whether an occurrence is in one of some ranges."""
    return any(first <= occurrence <= last for first, last in ended)


def _ended_occurrences(job: runs_module.ActiveJob) -> Iterator[int]:
    for occurrence in sorted(job.steps):
        if all(step.unfinished_count == 0 for step in job.steps[occurrence]):
            yield occurrence


def _ranges(numbers: Iterable[int]) -> Iterator[tuple[int, int]]:
    """Yields ascending numbers as ranges, each with its last number."""
    first = last = -1
    for number in numbers:
        if first >= 0 and number == last + 1:
            last = number
            continue
        if first >= 0:
            yield first, last
        first = last = number
    if first >= 0:
        yield first, last


def _divide(
    step: records.StepProgress,
) -> Iterator[tuple[str, records.StepProgress]]:
    """Yields the groups of a step's tasks that have progress, with names."""
    done: dict[int, list[int]] = {}
    for index in step.done:
        done.setdefault(index // TASKS_PER_PART, []).append(index)
    failed_runs = _grouped(step.failed_runs)
    checkpoints = _grouped(step.checkpoints)
    crashes = _grouped(step.crashes)
    trials = _grouped(step.trials)
    groups = {*done, *failed_runs, *checkpoints, *crashes, *trials}
    for group in sorted(groups):
        yield (
            f"{step.occurrence}.{step.step}.{group}",
            records.StepProgress(
                step.occurrence,
                step.step,
                tuple(done.get(group, ())),
                failed_runs.get(group, {}),
                checkpoints.get(group, {}),
                crashes.get(group, {}),
                trials.get(group, {}),
            ),
        )


def _grouped(values: dict[int, _Value]) -> dict[int, dict[int, _Value]]:
    """Returns values by task index, by group."""
    groups: dict[int, dict[int, _Value]] = {}
    for index, value in values.items():
        groups.setdefault(index // TASKS_PER_PART, {})[index] = value
    return groups
