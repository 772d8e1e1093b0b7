"""Runs a complete fleet of real processes on the loopback interface."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import pathlib
import signal
import tempfile
import time
from typing import Any
from typing import Self

import attrs
import msgspec

from comfreylatch._ports import hosts as hosts_port
from testing import client as client_module
from testing import deployments
from testing import fleet_plan
from testing import network
from testing import processes
from testing import relay
from testing.standins import endpoint as endpoint_stand_in
from testing.standins import log as log_stand_in
from testing.standins import worker_records

READY_TIMEOUT_S = 30.0
APPLY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class Fleet:
    """A context manager that runs stand-ins, relays and entry hosts.

    Args:
        deployment: Sizes and names of the fleet.
        options: Options of the processes.
        folder: Directory for settings and logs; defaults to a temporary one.
        start_hosts: Whether entering the context starts the entry hosts.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        options: fleet_plan.FleetOptions | None = None,
        folder: pathlib.Path | None = None,
        start_hosts: bool = True,
    ) -> None:
        self.deployment = deployment
        self.options = options or fleet_plan.FleetOptions()
        self.client = client_module.Client()
        self.hosts: dict[str, fleet_plan.Host] = {}
        self.endpoint_addresses: dict[str, str] = {}
        self.worker_addresses: dict[str, dict[str, str]] = {}
        self._folder = folder
        self._start_hosts = start_hosts
        self._stack = contextlib.ExitStack()
        self._ports = fleet_plan.PortPicker()

    def __enter__(self) -> Self:
        try:
            self._enter()
        except BaseException:
            self._stack.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def _enter(self) -> None:
        if self._folder is None:
            temporary = tempfile.TemporaryDirectory(prefix="fleet-")
            self._folder = pathlib.Path(self._stack.enter_context(temporary))
        self.folder = self._folder
        self._stack.callback(self.client.close)
        self._stack.enter_context(self._ports)
        self._start_stand_ins()
        self._plan_hosts()
        self._start_relays()
        self._fill_host_list()
        self._stack.callback(self._stop_hosts)
        if self._start_hosts:
            for seat in self.hosts:
                self.start_host(seat)
            self.wait_ready()

    # Stand-ins and relays.

    def _start_stand_in(
        self, module: str, arguments: Iterable[str], specs: Any = None
    ) -> processes.StandIn:
        stand_in = processes.start_stand_in(
            module, self.folder, tuple(arguments), specs
        )
        self._stack.callback(stand_in.process.stop)
        return stand_in

    def _start_stand_ins(self) -> None:
        options = self.options
        seed = ("--seed", str(options.seed))
        self.log = self._start_stand_in("standins.log", options.log_arguments)
        self.host_list = self._start_host_list()
        self.host_lists = dict.fromkeys(
            self.deployment.all_seats(), self.host_list
        )
        if fleet_plan.Link.SEAT_WORKERS in options.links:
            for seat in self.deployment.all_seats()[1:]:
                self.host_lists[seat] = self._start_host_list()
        self.endpoints = self._start_stand_in(
            "standins.endpoint", seed, self.deployment.endpoint_specs()
        )
        model = msgspec.json.encode(options.model).decode()
        speed = ("--speed", str(options.speed), "--model", model)
        self.workers = self._start_stand_in(
            "standins.worker", (*seed, *speed), self.deployment.worker_specs()
        )

    def _start_host_list(self) -> processes.StandIn:
        lag_ms = str(self.options.list_lag_ms)
        return self._start_stand_in("standins.hosts", ("--lag-ms", lag_ms))

    def _plan_hosts(self) -> None:
        for seat in self.deployment.all_seats():
            self.hosts[seat] = fleet_plan.Host(
                seat=seat,
                zone=self.deployment.zone_of_seat(seat),
                caller_address=self._ports.address(),
                operator_address=self._ports.address(),
                peer_address=self._ports.address(),
                settings_path=self.folder / f"{seat}.json",
            )

    def _start_relays(self) -> None:
        platform = fleet_plan.PlatformAddresses(
            log=self.log.ready["address"],
            host_lists={
                seat: stand_in.ready["address"]
                for seat, stand_in in self.host_lists.items()
            },
            workers=self.workers.ready["addresses"],
            endpoints=self.endpoints.ready["addresses"],
        )
        targets = fleet_plan.relay_targets(
            self.options.links, self.hosts, platform
        )
        relays = self._start_stand_in(
            "relay",
            ("--seed", str(self.options.seed)),
            [relay.RelaySpec(*item) for item in targets.items()],
        )
        self.network = network.Network(relays, self.deployment)
        relay_addresses: dict[str, str] = relays.ready["addresses"]
        for name, address in self.endpoints.ready["addresses"].items():
            self.endpoint_addresses[name] = relay_addresses.get(
                f"endpoint/{name}", address
            )
        for seat in self.hosts:
            self.worker_addresses[seat] = fleet_plan.worker_addresses(
                seat, relay_addresses, platform.workers
            )
        for host in self.hosts.values():
            settings = fleet_plan.host_settings(
                host, self.hosts, relay_addresses, platform, self.options
            )
            host.settings_path.write_bytes(msgspec.json.encode(settings))
        for host in self.hosts.values():
            host.caller_address = relay_addresses.get(
                f"caller/{host.seat}", host.caller_address
            )
        if self.options.delays:
            self.network.set_delays()

    def _fill_host_list(self) -> None:
        entries = [
            hosts_port.ListedHost(
                name=host.seat,
                kind=hosts_port.HostKind.ENTRY,
                state=hosts_port.HostState.LIVE,
                zone=host.zone,
                rack="",
                address=host.caller_address,
            )
            for host in self.hosts.values()
        ]
        entries += self.deployment.listed_endpoints(self.endpoint_addresses)
        for seat, stand_in in self.host_lists.items():
            addresses = self.worker_addresses[seat]
            listed = entries + self.deployment.listed_workers(addresses)
            stand_in.control(
                put=[attrs.asdict(entry) for entry in listed], at_once=True
            )

    def update_listed_host(
        self, kind: hosts_port.HostKind, name: str, **changes: Any
    ) -> None:
        """Changes one host list entry; hosts see it after the list's lag."""
        for seat, stand_in in self.host_lists.items():
            addresses = self.worker_addresses[seat]
            listed = self.deployment.listed_workers(addresses)
            listed += self.deployment.listed_endpoints(self.endpoint_addresses)
            matching = [
                host
                for host in listed
                if (host.kind, host.name) == (kind, name)
            ]
            if not matching:
                raise fleet_plan.FleetError(
                    f"the host list has no {kind} {name!r}"
                )
            changed = attrs.evolve(matching[0], **changes)
            stand_in.control(put=[attrs.asdict(changed)])

    # Entry hosts.

    def start_host(self, seat: str) -> fleet_plan.Host:
        """Starts a process in an empty seat; doesn't wait until it is ready."""
        host = self.hosts[seat]
        if host.process is not None and host.process.exit_code is None:
            raise fleet_plan.FleetError(
                f"seat {seat} already has a running process"
            )
        host.starts += 1
        host.process = processes.ChildProcess(
            f"{seat}-{host.starts}",
            [*self.options.command, "serve", str(host.settings_path)],
            self.folder,
        )
        return host

    def replace_host(self, seat: str) -> fleet_plan.Host:
        """Kills the process in a seat and starts another; waits until ready."""
        self.kill_host(seat)
        host = self.start_host(seat)
        self.wait_ready(seat)
        return host

    def kill_host(self, seat: str) -> None:
        """Kills a host with SIGKILL."""
        self._process(seat).kill()

    def signal_host(self, seat: str, number: signal.Signals) -> None:
        """Sends SIGSTOP, SIGCONT, SIGTERM or another signal to a host."""
        self._process(seat).send_signal(number)

    def wait_host(self, seat: str, timeout_s: float = READY_TIMEOUT_S) -> int:
        """Waits until a host exits and returns its exit code."""
        return self._process(seat).wait(timeout_s)

    def _process(self, seat: str) -> processes.ChildProcess:
        process = self.hosts[seat].process
        if process is None:
            raise fleet_plan.FleetError(f"seat {seat} has no process")
        return process

    def _stop_hosts(self) -> None:
        started = [host.process for host in self.hosts.values() if host.process]
        for process in started:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in started:
            process.stop()

    def wait_ready(self, *seats: str) -> None:
        """Waits until the hosts of the seats, or all hosts, report ready."""
        for seat in seats or tuple(self.hosts):
            self.wait_until(
                lambda seat=seat: self._is_ready(seat),
                f"{seat} is ready",
                READY_TIMEOUT_S,
            )

    def _is_ready(self, seat: str) -> bool:
        process = self._process(seat)
        if process.exit_code is not None:
            raise fleet_plan.FleetError(
                f"{seat} exited before it was ready: {process.tail()}"
            )
        answer = self.client.get(
            self.hosts[seat].operator_address, "/health/ready"
        )
        return answer.status == 200

    def wait_until(
        self, condition: Callable[[], bool], description: str, timeout_s: float
    ) -> None:
        """Polls a condition; raises FleetError when the timeout expires."""
        deadline_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise fleet_plan.FleetError(
                    f"timed out after {timeout_s} s waiting for: {description}"
                )
            time.sleep(POLL_INTERVAL_S)

    # Operators and callers.

    def submit_ticket(
        self, ticket: dict[str, Any], seat: str | None = None
    ) -> client_module.Answer:
        """Submits a ticket through one host."""
        return self.client.post_json(
            self._operator_address(seat), "/tickets", ticket
        )

    def apply_first_ticket(self, number: int = 1) -> None:
        """Submits the first ticket and waits until all hosts applied it."""
        ticket = deployments.first_ticket(
            self.deployment, self.endpoint_addresses, number
        )
        answer = self.submit_ticket(ticket)
        if answer.status != 200:
            raise fleet_plan.FleetError(
                f"first ticket was refused: {answer.body!r}"
            )
        self.wait_until(
            self._all_hosts_configured,
            "all hosts have applied the first ticket",
            APPLY_TIMEOUT_S,
        )

    def _all_hosts_configured(self) -> bool:
        pages = [
            self.client.get(host.operator_address, "/objects")
            for host in self.hosts.values()
            if host.process is not None and host.process.exit_code is None
        ]
        service = self.deployment.service.encode()
        return all(
            page.status == 200 and service in page.body for page in pages
        )

    def submit_job(
        self, job: dict[str, Any], seat: str | None = None
    ) -> client_module.Answer:
        """Submits a job through one host."""
        return self.client.post_json(self._operator_address(seat), "/jobs", job)

    def job(self, name: str, seat: str | None = None) -> client_module.Answer:
        """Requests a job's page from one host."""
        return self.client.get(self._operator_address(seat), f"/jobs/{name}")

    def cancel_job(
        self, name: str, seat: str | None = None
    ) -> client_module.Answer:
        """Cancels a job through one host."""
        return self.client.delete(self._operator_address(seat), f"/jobs/{name}")

    def status(self, seat: str) -> dict[str, Any]:
        """Returns the status page of a host."""
        page: dict[str, Any] = self.client.get(
            self.hosts[seat].operator_address, "/status"
        ).json()
        return page

    def request(
        self, seat: str, request_id: str, body: bytes = b"", **options: Any
    ) -> client_module.Answer:
        """Sends a caller's request; `options` are those of `Client.request`."""
        return self.client.request(
            self.hosts[seat].caller_address,
            self.deployment.service,
            request_id,
            body,
            **options,
        )

    def _operator_address(self, seat: str | None) -> str:
        chosen = next(iter(self.hosts)) if seat is None else seat
        return self.hosts[chosen].operator_address

    # Journals of the stand-ins.

    def endpoint_events(self) -> list[endpoint_stand_in.EndpointEvent]:
        """Returns the journal of all requests that reached an endpoint."""
        events: list[endpoint_stand_in.EndpointEvent] = self.endpoints.journal(
            endpoint_stand_in.EndpointEvent
        )
        return events

    def worker_events(self) -> list[worker_records.WorkerEvent]:
        """Returns the journal of all events on the workers."""
        events: list[worker_records.WorkerEvent] = self.workers.journal(
            worker_records.WorkerEvent
        )
        return events

    def log_events(self) -> list[log_stand_in.LogEvent]:
        """Returns the journal of all appends that reached the log."""
        events: list[log_stand_in.LogEvent] = self.log.journal(
            log_stand_in.LogEvent
        )
        return events
