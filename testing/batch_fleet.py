"""A zone with short leases and claims, for fault tests of batch work."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

import result
import testtools

from comfreylatch._version import job_records
from comfreylatch._version import objects
from comfreylatch._version import records
from testing import deployments
from testing import fleet as fleet_module
from testing import fleet_plan
from testing import job_checks
from testing import job_load

ZONE = "bole"
# The stand-ins treat a quoted report as stale after 2 s.
LIMITS = objects.Limits(
    lease_ms=2_000,
    claim_ms=2_000,
    command_ttl_ms=2_000,
    drift_margin_ms=200,
    evictions_per_hour=1_000,
)
AUTONOMY_MS = 3_000
# The longest time that a predecessor's tasks may still run plus the longest
# jitter of a claim, with a margin.
TAKEOVER_TIMEOUT_S = 10.0
LINKS = frozenset(
    {
        fleet_plan.Link.PLATFORM,
        fleet_plan.Link.PEERS,
        fleet_plan.Link.SEAT_WORKERS,
    }
)


def deployment(**changes: Any) -> deployments.Deployment:
    """Returns a deployment of one zone with three hosts and four workers."""
    values: dict[str, Any] = {
        "seats_per_zone": 3,
        "workers": 4,
        # A worker that checks its capacity would hide an excessive assignment.
        "worker_guards": False,
        "limits": LIMITS,
        "autonomy_ms": AUTONOMY_MS,
    }
    return deployments.small(1, **(values | changes))


def start(
    test: testtools.TestCase,
    log_arguments: tuple[str, ...] = (),
    **changes: Any,
) -> fleet_module.Fleet:
    """Starts a fleet; returns it once it is configured and has an owner."""
    options = fleet_plan.FleetOptions(links=LINKS, log_arguments=log_arguments)
    running = test.enterContext(
        fleet_module.Fleet(deployment(**changes), options)
    )
    running.apply_first_ticket()
    wait_limits_applied(running)
    return running


def wait_limits_applied(running: fleet_module.Fleet) -> None:
    """Waits until the zone has an owner that uses the configured limits."""
    lease_ms = running.deployment.limits.lease_ms
    running.wait_until(
        lambda: claimed_lease_ms(running) == lease_ms,
        "the zone owner uses the configured limits",
        2 * TAKEOVER_TIMEOUT_S,
    )
    wait_owner(running)


def claimed_lease_ms(running: fleet_module.Fleet) -> int:
    """Returns the lease of the last claim in the log; 0 without a claim."""
    address = running.log.ready["address"]
    stream = job_records.zone_stream(ZONE)
    answer = running.client.get(address, f"/streams/{stream}/records")
    lease_ms = 0
    for line in answer.json()["records"]:
        decoded = records.decode(line["payload"].encode())
        match decoded:
            case result.Ok((_, job_records.OwnerClaimed() as claim)):
                lease_ms = claim.bounds.lease_ms
            case _:
                pass
    return lease_ms


def find_owner(running: fleet_module.Fleet) -> str:
    """Returns the seat whose host may start work now, or an empty string."""
    for seat, host in running.hosts.items():
        if host.process is None or host.process.exit_code is not None:
            continue
        if running.status(seat)["batch"]["owner"]["holds"]:
            return seat
    return ""


def wait_owner(running: fleet_module.Fleet, *dead: str) -> str:
    """Waits for an owner and returns its seat; skips the seats in `dead`."""
    owners: list[str] = []

    def has_owner() -> bool:
        for seat in running.hosts:
            if seat in dead:
                continue
            if running.status(seat)["batch"]["owner"]["holds"]:
                owners.append(seat)
                return True
        return False

    running.wait_until(
        has_owner, "the zone has an owner", 2 * TAKEOVER_TIMEOUT_S
    )
    return owners[0]


def submitter(
    running: fleet_module.Fleet, **changes: Any
) -> job_load.JobSubmitter:
    """Returns a submitter that sends jobs at a constant rate to all hosts."""
    seats = running.deployment.all_seats()
    return job_load.JobSubmitter(
        running, job_load.JobLoad(seats=seats, **changes)
    )


def wait_started(
    running: fleet_module.Fleet,
    more: int,
    timeout_s: float = TAKEOVER_TIMEOUT_S,
) -> None:
    """Waits until workers have started `more` further attempts."""
    before = count_starts(running)
    running.wait_until(
        lambda: count_starts(running) >= before + more,
        f"{more} more attempts have started",
        timeout_s,
    )


def count_starts(running: fleet_module.Fleet) -> int:
    """Returns the number of attempts that workers have started."""
    return sum(event.kind == "start" for event in running.worker_events())


def assert_no_violations(
    test: testtools.TestCase,
    running: fleet_module.Fleet,
    submitter: job_load.JobSubmitter,
    faulty: Collection[str] = (),
) -> None:
    """Waits until all jobs have ended; asserts that no rule was violated.

    Args:
        test: Test that makes the assertions.
        running: Fleet on which the jobs ran.
        submitter: Submitter of the jobs, after its exit.
        faulty: Workers that died or were unreachable.
    """
    seat = next(iter(running.hosts))
    job_checks.wait_all_ended(running, submitter, seat)
    violations = job_checks.find_violations(running, submitter, seat, faulty)
    test.assertEqual([], violations)
    running.wait_until(
        lambda: hosts_agree(running),
        "all hosts report the same job states",
        5.0,
    )


def hosts_agree(running: fleet_module.Fleet) -> bool:
    """Returns whether all hosts report the same state of every job."""
    pages = [job_checks.job_pages(running, seat) for seat in running.hosts]
    return all(page == pages[0] for page in pages)
