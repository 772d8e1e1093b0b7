"""Renders docs/CAPACITY.md from measured slopes."""

from __future__ import annotations

from collections.abc import Iterable
import os
import platform
import subprocess

import attrs

from testing.capacity import costs
from testing.capacity import model as model_module
from testing.capacity import slope

BUDGET_CPU_US_PER_S = 23_000
BUDGET_BYTES = 32_000_000
BUDGET_BYTES_PER_S = 7_000
LOG_APPENDS_PER_S = 300
KIB = 1_024
MB = 1_000_000
US_PER_MS = 1_000
US_PER_PERCENT = 10_000
KB = 1_000

# Possible remedies for the costs of a mechanism, by prefix of its name.
_REMEDIES = {
    "interpreter and libraries": (
        "fewer and lighter libraries in `serve`: logbook and urllib3 load TLS "
        "and OpenSSL's hashes, which nothing here uses, and the program's "
        "own modules take several MB; pages shared by the `serve` processes of "
        "one host count once"
    ),
    "journal": "a bound in bytes, and packed decisions",
    "jobs": (
        "checkpoints recorded less often, or only when an attempt ends; "
        "several shards of a zone's stream, each with "
        "an owner and one standby, instead of every host of the zone"
    ),
    "leases and reports": (
        "reports as changes since the quoted report instead of all tasks, "
        "longer leases, kept connections, and a fresh report taken from the "
        "renewal before"
    ),
    "heartbeats": (
        "heartbeats within the zone only, with one host for each pair of "
        "zones that passes summaries on"
    ),
    "configuration": (
        "references between objects indexed, so that a change does not look "
        "at every endpoint"
    ),
    "owner's loop": (
        "work for the workers that changed, not for all of them in each step"
    ),
    "placement": "a smaller record for each attempt",
}


def page(model: model_module.Model) -> str:
    """Renders the page as Markdown."""
    roles = model.roles()
    parts = [
        _introduction(),
        _size_section(model.size),
        _roles_section(roles),
        _missed_budgets_section(roles),
        _log_section(model),
        *[_role_section(role) for role in roles],
        _slopes_section(model.slopes),
    ]
    return "\n\n".join(parts) + "\n"


def _introduction() -> str:
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout.strip()
    return (
        "# Capacity\n\n"
        "What one process costs for control in each role at the size to "
        "design for (see [DEVELOPERS.md](DEVELOPERS.md)), worked out from "
        "slopes measured on one machine with small fakes at the interfaces. "
        "It is arithmetic on those slopes, not a run at that size: waiting, "
        "contention between threads and the network are not in it, nor is "
        "the work of relaying requests, for which see `make bench`.\n\n"
        f"Printed by `make capacity` at commit {commit or 'unknown'}, Python "
        f"{platform.python_version()}, {os.cpu_count()} processors, shared "
        "with other work. Times are the least of "
        f"{slope.REPEATS} repeats and still differ by up to twice from run to "
        "run; memory is what Python allocates (for interpreter, libraries "
        "and threads: resident). Values lie between those measured where the "
        "size does, else on the line through them."
    )


def _size_section(size: costs.DesignSize) -> str:
    fields = attrs.asdict(size)
    stated_fields = (
        "zones",
        "workers",
        "endpoints",
        "running_tasks",
        "starts_per_s",
        "teams",
        "changes_per_day",
    )
    stated = ", ".join(f"{name} {fields[name]:,}" for name in stated_fields)
    assumed = ", ".join(
        f"{name} {value:,}"
        for name, value in fields.items()
        if name not in stated_fields
    )
    return (
        f"Size: {stated}. Assumed besides: {assumed}. A batch task is one job "
        "record here. Every figure is at the peak."
    )


def _roles_section(roles: Iterable[costs.RoleCost]) -> str:
    rows = [
        (
            role.role.value,
            role.built,
            _compare_with_budget(
                _memory_bytes(role) / MB, BUDGET_BYTES / MB, "MB"
            ),
            f"{role.total('messages_per_s'):.0f}",
            _compare_with_budget(
                role.total("cpu_us_per_s") / US_PER_PERCENT,
                BUDGET_CPU_US_PER_S / US_PER_PERCENT,
                "%",
            ),
            _compare_with_budget(
                role.total("bytes_per_s") / KB, BUDGET_BYTES_PER_S / KB, "KB/s"
            ),
        )
        for role in roles
    ]
    header = (
        "role",
        "built",
        "memory (32 MB)",
        "messages/s",
        "processor (2.3% of a core)",
        "traffic (7 KB/s)",
    )
    return "## Roles\n\n" + _table(header, rows)


def _memory_bytes(role: costs.RoleCost) -> float:
    return role.total("state_kib") * KIB


def _compare_with_budget(value: float, budget: float, unit: str) -> str:
    verdict = "within" if value <= budget else "**missed**"
    return f"{value:.1f} {unit}, {verdict}"


def _missed_budgets_section(roles: Iterable[costs.RoleCost]) -> str:
    lines = ["## Budgets missed today, and what would mend them", ""]
    needed_remedies: dict[str, None] = {}
    for role in roles:
        for name, budget, resource in (
            ("state_kib", BUDGET_BYTES / KIB, "memory"),
            ("cpu_us_per_s", BUDGET_CPU_US_PER_S, "processor"),
            ("bytes_per_s", BUDGET_BYTES_PER_S, "traffic"),
        ):
            total = role.total(name)
            if total <= budget:
                continue
            largest = sorted(role.costs, key=lambda cost: -getattr(cost, name))[
                :2
            ]
            shares = " and ".join(
                f"{cost.mechanism} {getattr(cost, name) / total:.0%}"
                for cost in largest
                if getattr(cost, name) > 0
            )
            lines.append(
                f"- {role.role.value}, {resource}: {total / budget:.1f} times "
                f"the budget; most of it {shares}."
            )
            needed_remedies.update(
                dict.fromkeys(find_remedy(c) for c in largest)
            )
    lines.append("")
    for name in needed_remedies:
        if name:
            lines.append(f"- *{name}*: {_REMEDIES[name]}.")
    return "\n".join(lines)


def find_remedy(cost: costs.MechanismCost) -> str:
    """Returns the key of a mechanism's remedy in `_REMEDIES`, or ""."""
    for prefix in _REMEDIES:
        if cost.mechanism.startswith(prefix):
            return prefix
    return ""


def _log_section(model: model_module.Model) -> str:
    size = model.size
    zone = model.zone_appends_per_s()
    total = zone * size.zones + size.changes_per_s
    records = sum(model.zone_records_per_s().values()) * size.zones
    reads = total / size.zones * size.seats
    rates = ", ".join(
        f"{name} {rate:.1f}"
        for name, rate in model.zone_records_per_s().items()
    )
    return (
        "## The log\n\n"
        f"Records a second of one zone: {rates}; of all zones {records:.0f}, "
        f"in at most {total:.0f} appends a second ({zone:.1f} a zone), "
        f"against several hundred that the log takes, counted here as "
        f"{LOG_APPENDS_PER_S} "
        f"({_compare_with_budget(total, LOG_APPENDS_PER_S, '/s')}). "
        "The owner appends at most twice a step, and every append of one "
        "stream keeps a distance from the one before, so that more records "
        "make longer appends and not more of them; admissions come one by "
        "one at worst. "
        f"All hosts together read {reads:.0f} times a second. A longer step "
        "and admissions gathered by one host a zone would lower both."
    )


def _role_section(role: costs.RoleCost) -> str:
    rows = [
        (
            cost.mechanism,
            f"{cost.state_kib:,.0f}",
            f"{cost.messages_per_s:.1f}",
            f"{cost.cpu_us_per_s / US_PER_MS:.2f}",
            f"{cost.bytes_per_s / KB:.2f}",
        )
        for cost in role.costs
    ]
    rows.append(
        (
            "sum",
            f"{role.total('state_kib'):,.0f}",
            f"{role.total('messages_per_s'):.1f}",
            f"{role.total('cpu_us_per_s') / US_PER_MS:.2f}",
            f"{role.total('bytes_per_s') / KB:.2f}",
        )
    )
    header = ("mechanism", "state KiB", "messages/s", "processor ms/s", "KB/s")
    title = f"## Role: {role.role.value}\n\nBuilt: {role.built}.\n\n"
    return title + _table(header, rows)


def _slopes_section(slopes: model_module.Slopes) -> str:
    rows = []
    for group in attrs.astuple(slopes, recurse=False):
        for value in attrs.astuple(group, recurse=False):
            if isinstance(value, slope.Slope):
                rows.append(_slope_row(value))
    header = ("measured", "by", "sizes", "values", "line")
    process = slopes.process
    batch = slopes.batch
    return (
        "## Slopes measured\n\n" + _table(header, rows) + "\n\nInterpreter "
        f"{process.interpreter_kib:,} KiB, libraries and the program's own "
        f"modules {process.libraries_kib:,} KiB, of both "
        f"{process.private_kib:,} KiB private to the process. Records on the "
        f"log: ticket of one endpoint "
        f"{slopes.configuration.change_record_bytes} B, admission "
        f"{batch.admit_record_bytes} B, assignment "
        f"{batch.assign_record_bytes} B, checkpoint "
        f"{batch.checkpoint_record_bytes} B, end {batch.end_record_bytes} B."
    )


def _slope_row(line: slope.Slope) -> tuple[str, ...]:
    sizes = " / ".join(f"{size:,}" for size in line.sizes)
    values = " / ".join(f"{value:,.0f}" for value in line.values)
    formula = f"{line.fixed:,.0f} + {line.per_unit:,.3g} a unit, in {line.unit}"
    return (line.name, line.size_unit, sizes, values, formula)


def _table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    titles = tuple(header)
    lines = ["| " + " | ".join(titles) + " |", "|" + "---|" * len(titles)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)
