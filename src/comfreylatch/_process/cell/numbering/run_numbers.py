"""Ranges of run numbers, and their extension by a record.

A new owner may not know all runs that its predecessor started. A worker refuses
a run whose number is not above those of the runs that have ended there, and a
number that is used twice could be taken for another run. So each fencing token
has a range of its own, and an owner that needs more numbers for a task reserves
them in the record of the job's progress before it uses them.
"""

from __future__ import annotations

from comfreylatch._process.cell import records
from comfreylatch._process.cell import runs as runs_module

# Run numbers per fencing token, and per reservation.
NUMBERS_PER_RANGE = 1_000


def first_floor(token: int, progress: records.ProgressRecord | None) -> int:
    """Returns the number above which an owner numbers a predecessor's job."""
    reserved = 0 if progress is None else progress.reserved_run
    return max(token * NUMBERS_PER_RANGE, reserved)


def initial_limit(token: int, run_number_floor: int) -> int:
    """Returns the highest number that needs no reservation.

    The next owner's token, and so its floor, is higher by one at least.
    """
    return max((token + 1) * NUMBERS_PER_RANGE, run_number_floor)


def needs_reservation(run: runs_module.Run) -> bool:
    """Whether a run has to wait until its number is reserved in the store."""
    return run.number > run.task.step.job.run_number_limit


def reserve(job: runs_module.ActiveJob, number: int) -> bool:
    """Reserves numbers up to one and beyond; False if they are already.

    The reservation counts once the job's progress is stored.
    """
    if number <= job.reserved_run:
        return False
    job.reserved_run = number + NUMBERS_PER_RANGE
    return True
