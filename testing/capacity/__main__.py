"""Prints a new docs/CAPACITY.md: `make capacity`."""

from __future__ import annotations

from testing.capacity import costs
from testing.capacity import model
from testing.capacity import report


def main() -> None:
    """Measures the slopes, computes the costs and prints the page."""
    cost_model = model.Model(costs.DesignSize(), model.measure())
    print(report.page(cost_model), end="")


if __name__ == "__main__":
    main()
