"""Injects named faults into a fleet during an experiment."""

from __future__ import annotations

import enum
import signal
import threading

from testing import fleet

FAULT_START_FRACTION = 1 / 3
FAULT_END_FRACTION = 2 / 3
SLOW_FACTOR = 5.0


class Fault(enum.StrEnum):
    """Faults that can be injected."""

    NONE = "none"
    KILL_HOST = "kill-host"
    STOP_HOST = "stop-host"
    FREEZE_HOST = "freeze-host"
    CUT_ZONE = "cut-zone"
    LOG_DOWN = "log-down"
    LOSE_ANSWERS = "lose-answers"
    SLOW_ENDPOINTS = "slow-endpoints"
    RESET_ENDPOINTS = "reset-endpoints"
    KILL_WORKERS = "kill-workers"
    FAILING_WORKER = "failing-worker"


class FaultInjector:
    """Injects one fault and clears it again, on a thread of its own.

    The fault lasts from one third to two thirds of the trace. It affects the
    first zone, its first seat, the first endpoint, the first worker (two with
    `KILL_WORKERS`) or the log.
    """

    def __init__(
        self, running: fleet.Fleet, fault: Fault, duration_ms: int
    ) -> None:
        self._fleet = running
        self._fault = fault
        self._duration_s = duration_ms / 1_000
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        deployment = running.deployment
        self._zone = deployment.zones[0]
        self._seat = deployment.seats(self._zone)[0]
        self._endpoint = deployment.endpoint_names()[0]
        self._worker = deployment.worker_names()[0]

    def __enter__(self) -> FaultInjector:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._closing.set()
        self._thread.join()

    def _run(self) -> None:
        if self._closing.wait(self._duration_s * FAULT_START_FRACTION):
            return
        self._inject()
        self._closing.wait(
            self._duration_s * (FAULT_END_FRACTION - FAULT_START_FRACTION)
        )
        self._clear()

    def _inject(self) -> None:
        match self._fault:
            case Fault.KILL_HOST:
                self._fleet.kill_host(self._seat)
            case Fault.STOP_HOST:
                self._fleet.signal_host(self._seat, signal.SIGTERM)
            case Fault.FREEZE_HOST:
                self._fleet.signal_host(self._seat, signal.SIGSTOP)
            case Fault.CUT_ZONE:
                self._fleet.network.isolate_zone(self._zone)
            case _:
                self._inject_into_stand_in()

    def _inject_into_stand_in(self) -> None:
        running = self._fleet
        match self._fault:
            case Fault.LOG_DOWN:
                running.log.control(down=True)
            case Fault.LOSE_ANSWERS:
                running.log.control(lose_after=5, lose_before=5)
            case Fault.SLOW_ENDPOINTS:
                running.endpoints.control(
                    endpoint=self._endpoint, slow=SLOW_FACTOR
                )
            case Fault.RESET_ENDPOINTS:
                running.endpoints.control(
                    endpoint=self._endpoint, reset=20, truncate=20
                )
            case Fault.KILL_WORKERS:
                for name in running.deployment.worker_names()[:2]:
                    running.workers.control(worker=name, kill=True)
            case Fault.FAILING_WORKER:
                running.workers.control(worker=self._worker, fail_all=True)
            case _:
                pass

    def _clear(self) -> None:
        running = self._fleet
        match self._fault:
            case Fault.KILL_HOST | Fault.STOP_HOST:
                running.wait_host(self._seat)
                running.start_host(self._seat)
            case Fault.FREEZE_HOST:
                running.signal_host(self._seat, signal.SIGCONT)
            case Fault.CUT_ZONE:
                running.network.isolate_zone(self._zone, cut=False)
            case Fault.LOG_DOWN:
                running.log.control(down=False)
            case Fault.SLOW_ENDPOINTS:
                running.endpoints.control(endpoint=self._endpoint, slow=1.0)
            case Fault.FAILING_WORKER:
                running.workers.control(worker=self._worker, fail_all=False)
            case _:
                pass
