"""Status of a zone's owner, as the `status` command shows it."""

from __future__ import annotations

import attrs

from comfreylatch._version import job_state
from comfreylatch._version import zone_fold


@attrs.frozen
class OwnerStatus:
    """Owner and counts of a zone, as folded on this host.

    Attributes:
        owner: Host id of the zone's owner; empty if there is none.
        term: Term of the latest claim.
        holds: Whether this host may start work now.
        fold_offset: Last record of the zone's stream folded here.
        queued: Number of queued jobs.
        running: Number of assigned attempts.
        parked: Number of jobs parked after repeated failures.
        quarantined: Workers that get no new work, or only a probe.
    """

    owner: str
    term: int
    holds: bool
    fold_offset: int
    queued: int
    running: int
    parked: int
    quarantined: tuple[str, ...]


def from_fold(
    fold: zone_fold.ZoneFold, holds: bool, quarantined: tuple[str, ...]
) -> OwnerStatus:
    """Builds the status from a fold."""
    claims = fold.claims()
    claim = claims[-1] if claims else None
    is_owned = claim is not None and not claim.released
    return OwnerStatus(
        owner=claim.host if is_owned and claim else "",
        term=claim.term if claim else 0,
        holds=holds,
        fold_offset=fold.offset(),
        queued=fold.count_in_phase(job_state.JobPhase.QUEUED),
        running=fold.count_in_phase(job_state.JobPhase.ASSIGNED),
        parked=fold.count_in_phase(job_state.JobPhase.PARKED),
        quarantined=quarantined,
    )
