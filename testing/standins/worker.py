"""Many workers in one process, each on its own port; see docs/PLATFORM.md.

Standard input or `--spec FILE` holds a list of `WorkerSpec`.

Control: `{"worker": NAME or "*", ...}` with any of `{"pause": bool,
"refuse": bool, "fail_all": bool, "kill": true,
"service_load": {SERVICE: 0..1}}`.
"""

from __future__ import annotations

import argparse
import threading
import time
from typing import Any

import msgspec

from testing.standins import endpoint
from testing.standins import serving
from testing.standins import worker_host
from testing.standins import worker_model
from testing.standins import worker_records

DEFAULT_TICK_MS = 25


class WorkerGroup:
    """All workers of the process, and the thread that advances them."""

    def __init__(
        self,
        specs: list[worker_records.WorkerSpec],
        model: worker_model.WorkModel,
        speed: float,
        tick_ms: int,
    ) -> None:
        self.journal = serving.Journal()
        self._tick_s = tick_ms / 1_000
        self._by_name = {
            spec.name: worker_host.WorkerHost(spec, model, speed, self.journal)
            for spec in specs
        }

    def addresses(self) -> dict[str, str]:
        """Returns the address of each worker by name."""
        return {
            name: worker.listener.address
            for name, worker in self._by_name.items()
        }

    def control(self, change: dict[str, Any]) -> None:
        """Sets faults at one worker, or at all with `*`."""
        name = change.pop("worker")
        if name == "*":
            for worker in self._by_name.values():
                worker.change(dict(change))
        else:
            self._by_name[name].change(change)

    def start(self) -> None:
        """Starts the thread that advances all workers."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            time.sleep(self._tick_s)
            for worker in self._by_name.values():
                worker.advance()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", default="-", help="file of specs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--model", default="{}", help="JSON with size_factors, time_factors"
    )
    parser.add_argument(
        "--speed",
        type=float,
        default=1.0,
        help="ratio of task time to real time",
    )
    parser.add_argument("--tick-ms", type=int, default=DEFAULT_TICK_MS)
    parser.add_argument("--control-port", type=int, default=0)
    return parser


def main() -> None:
    """Runs the workers until SIGTERM."""
    args = _parser().parse_args()
    factors = msgspec.json.decode(args.model)
    model = worker_model.WorkModel(seed=args.seed, **factors)
    specs = endpoint.read_specs(args.spec, worker_records.WorkerSpec)
    group = WorkerGroup(specs, model, args.speed, args.tick_ms)
    group.start()
    control = serving.ControlServer(
        group.journal, group.control, args.control_port
    )
    serving.announce(
        addresses=group.addresses(), control=control.listener.address
    )
    serving.wait_for_stop()


if __name__ == "__main__":
    main()
