"""Prints a new docs/CAPACITY.md: `make capacity`."""

from __future__ import annotations

from testing.capacity import costs
from testing.capacity import model
from testing.capacity import report


def main() -> None:
    """Measures the slopes, computes the costs and prints the page."""
    worked_out = model.Model(costs.DesignSize(), model.measure())
    print(report.page(worked_out), end="")


if __name__ == "__main__":
    main()
