"""The demo of `make demo`: runs a complete fleet for about a minute."""

from __future__ import annotations

from concurrent import futures
import contextlib
import os
import signal
import subprocess
import sys
import time

from comfreylatch._process import reasons
from testing import checker
from testing import deployments
from testing import fleet
from testing import fleet_plan
from testing import processes

JOB = "stack-0412"
JOB_RUN_TIME_MS = 3_000
JOB_TIMEOUT_S = 25.0
CALLERS = 8
LOAD_S = 3.0
COMMAND_TIMEOUT_S = 15.0


class DemoError(Exception):
    """A step of the demo failed."""


def main() -> None:
    """Runs the demo; exits with status 0, or 1 when a step fails."""
    try:
        _run()
    except (
        DemoError,
        fleet_plan.FleetError,
        processes.ProcessError,
        OSError,
        subprocess.SubprocessError,
    ) as error:
        reason = " ".join(str(error).split())
        print(f"demo: FAILED {reason}")
        sys.exit(1)
    print("demo: ok")


def _run() -> None:
    deployment = deployments.small(zones=3)
    options = fleet_plan.FleetOptions(
        links=frozenset({fleet_plan.Link.PEERS}), delays=True
    )
    _print_line(
        f"Starting stand-ins, {deployment.endpoints} endpoints, "
        f"{deployment.workers} workers and two entry hosts in each of "
        f"{', '.join(deployment.zones)}."
    )
    with contextlib.ExitStack() as stack:
        running = stack.enter_context(fleet.Fleet(deployment, options))
        demo = Demo(running)
        demo.apply_configuration()
        demo.answer_requests()
        demo.run_job()
        demo.stop_host_under_load()
        demo.check_records()


class Demo:
    """The steps of the demo, run on a fleet."""

    def __init__(self, running: fleet.Fleet) -> None:
        self._fleet = running
        self._sent: list[checker.SentRequest] = []

    def apply_configuration(self) -> None:
        """Submits the first ticket."""
        started_s = time.monotonic()
        self._fleet.apply_first_ticket()
        elapsed_ms = (time.monotonic() - started_s) * 1_000
        _print_line(
            f"Ticket 1 is in force on {len(self._fleet.hosts)} hosts "
            f"{elapsed_ms:.0f} ms after it was submitted."
        )
        self._explain("ticket", "1")

    def answer_requests(self) -> None:
        """Sends a few requests through every host."""
        for seat in self._fleet.hosts:
            for number in range(3):
                self._request(seat, f"calibrate-{seat}-{number}")
        answered = [request for request in self._sent if _is_answered(request)]
        slowest_ms = max(request.answer.elapsed_ms for request in self._sent)
        _print_line(
            f"{len(answered)} of {len(self._sent)} requests answered, "
            f"the slowest in {slowest_ms:.0f} ms."
        )
        if len(answered) < len(self._sent):
            raise DemoError(
                f"requests were not answered: {_describe_failures(self._sent)}"
            )
        self._refuse_request()

    def _refuse_request(self) -> None:
        """Sends a request to a service that is not configured."""
        host = next(iter(self._fleet.hosts.values()))
        name = "calibrate-nowhere"
        answer = self._fleet.client.request(
            host.caller_address, "no-such-service", name
        )
        _print_line(
            f"A request to an unknown service: {answer.outcome}, "
            f"{answer.reason}."
        )
        if answer.outcome != "not-run":
            raise DemoError(f"{name}: expected not-run, got {answer}")
        self._explain("request", name)

    def run_job(self) -> None:
        """Submits a batch job and waits until it finishes."""
        zone = self._fleet.deployment.zones[0]
        answer = self._fleet.submit_job(
            {
                "id": JOB,
                "team": self._fleet.deployment.teams[0],
                "zone": zone,
                "job_class": self._fleet.deployment.job_classes[0],
                "resources": {
                    "processors_milli": 4_000,
                    "memory_mib": 8_192,
                    "accelerators": 0,
                },
                "run_time_ms": JOB_RUN_TIME_MS,
                "urgent": False,
            }
        )
        if answer.status != 200:
            raise DemoError(f"job refused: {answer.body!r}")
        started_s = time.monotonic()
        self._fleet.wait_until(
            self._job_finished, f"job {JOB} has finished", JOB_TIMEOUT_S
        )
        elapsed_s = time.monotonic() - started_s
        _print_line(
            f"Job {JOB}, {JOB_RUN_TIME_MS} ms of work, finished "
            f"{elapsed_s:.1f} s after it was accepted."
        )
        self._explain("job", JOB)

    def _job_finished(self) -> bool:
        answer = self._fleet.job(JOB)
        if answer.status != 200:
            return False
        return bool(answer.json()["phase"] == "finished")

    def stop_host_under_load(self) -> None:
        """Stops one host with SIGTERM while it serves callers."""
        seat = next(iter(self._fleet.hosts))
        with futures.ThreadPoolExecutor(CALLERS) as pool:
            deadline_s = time.monotonic() + LOAD_S
            loads = [
                pool.submit(self._load, seat, caller, deadline_s)
                for caller in range(CALLERS)
            ]
            time.sleep(LOAD_S / 2)
            self._fleet.signal_host(seat, signal.SIGTERM)
            sent = [request for load in loads for request in load.result()]
        code = self._fleet.wait_host(seat)
        self._sent += sent
        interrupted = [
            request
            for request in sent
            if request.answer.outcome in ("lost", "unknown")
        ]
        answered = sum(_is_answered(request) for request in sent)
        _print_line(
            f"SIGTERM to {seat} under load: {answered} requests answered, "
            f"{len(sent) - answered - len(interrupted)} refused, "
            f"{len(interrupted)} interrupted, exit code {code}."
        )
        if interrupted or code != 0:
            raise DemoError(
                f"stop of {seat} was not graceful: "
                f"{_describe_failures(interrupted)}"
            )

    def _load(
        self, seat: str, caller: int, deadline_s: float
    ) -> list[checker.SentRequest]:
        """Sends until the host says that it stops, as a load balancer would."""
        sent = []
        while time.monotonic() < deadline_s:
            name = f"load-{caller}-{len(sent)}"
            sent.append(self._send(seat, name))
            if sent[-1].answer.reason == reasons.RefusalReason.STOPPING:
                break
        return sent

    def check_records(self) -> None:
        """Checks the invariants against the stand-ins' journals."""
        violations = checker.check_requests(
            self._sent, self._fleet.endpoint_events()
        )
        violations += checker.check_jobs(self._fleet.worker_events(), {JOB})
        _print_line(
            f"Journals of endpoints and workers: {len(violations)} rule "
            "violations."
        )
        if violations:
            raise DemoError(str(violations[:3]))

    def _request(self, seat: str, name: str) -> None:
        self._sent.append(self._send(seat, name))

    def _send(self, seat: str, name: str) -> checker.SentRequest:
        body = name.encode()
        answer = self._fleet.request(seat, name, body)
        return checker.SentRequest(name, body, idempotent=False, answer=answer)

    def _explain(self, subject: str, name: str) -> None:
        arguments = ["explain", subject, name]
        host = self._fleet.hosts["bole-2"].operator_address
        finished = subprocess.run(
            [*self._fleet.options.command, *arguments],
            env={**os.environ, "COMFREYLATCH_HOST": host},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        print(f"$ comfreylatch {' '.join(arguments)}")
        print(finished.stdout + finished.stderr, end="", flush=True)
        if finished.returncode != 0:
            raise DemoError(
                f"explain {subject} {name}: exit code {finished.returncode}"
            )


def _is_answered(request: checker.SentRequest) -> bool:
    return request.answer.outcome == "answered" and request.answer.status == 200


def _describe_failures(sent: list[checker.SentRequest]) -> str:
    return ", ".join(
        f"{request.request_id} {request.answer.outcome} {request.answer.reason}"
        for request in sent
        if not _is_answered(request)
    )[:500]


def _print_line(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    main()
