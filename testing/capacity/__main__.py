"""`make capacity`: prints docs/CAPACITY.md anew."""

from __future__ import annotations

from testing.capacity import costs
from testing.capacity import model
from testing.capacity import report


def main() -> None:
    """Measures, works it out and prints the page."""
    worked_out = model.Model(costs.DesignSize(), model.measure())
    print(report.page(worked_out), end="")


if __name__ == "__main__":
    main()
