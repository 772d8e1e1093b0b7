"""Tests of the fleet launcher, without entry hosts."""

from __future__ import annotations

import socket

import msgspec
import testtools
import urllib3

from comfreylatch._ports import hosts as hosts_port
from comfreylatch._process import settings as settings_module
from testing import deployments
from testing import fleet
from testing import fleet_plan


def accepts_connections(address: str) -> bool:
    """Whether a connection to an address is accepted."""
    ip, _, port = address.partition(":")
    try:
        socket.create_connection((ip, int(port)), 1).close()
    except OSError:
        return False
    return True


class FleetTest(testtools.TestCase):
    """Settings, host list and cleanup of a fleet."""

    def start(self, **options: object) -> fleet.Fleet:
        started = fleet.Fleet(
            deployments.small(),
            fleet_plan.FleetOptions(**options),
            start_hosts=False,
        )
        return self.enterContext(started)

    def test_settings_reach_peers_through_relays(self) -> None:
        running = self.start(links=frozenset(fleet_plan.Link))
        host = running.hosts["bole-1"]
        settings = msgspec.json.decode(
            host.settings_path.read_bytes(), type=settings_module.Settings
        )
        self.assertEqual(3, len(settings.peers))
        direct = {host.peer_address for host in running.hosts.values()}
        for peer in settings.peers:
            self.assertNotIn(peer.peer_address, direct)
        running.network.cut_zones("bole", "entoto")

    # The lag is shortened only after the first question: on a busy machine an
    # answer may take longer than any short lag.
    def test_host_list_changes_are_seen_after_the_lag(self) -> None:
        running = self.start(list_lag_ms=600_000)
        running.update_listed_host(
            hosts_port.HostKind.ENDPOINT,
            "ex-1",
            state=hosts_port.HostState.LEAVING,
        )
        address = running.host_list.ready["address"]

        def states() -> dict[str, str]:
            page = urllib3.request("GET", f"http://{address}/hosts").json()
            return {host["name"]: host["state"] for host in page["hosts"]}

        def leaving() -> list[str]:
            return [
                name for name, state in states().items() if state == "leaving"
            ]

        self.assertIn("ex-1", states())
        self.assertEqual([], leaving())
        running.host_list.control(lag_ms=300)
        running.wait_until(
            lambda: leaving() == ["ex-1"], "ex-1 is listed as leaving", 2.0
        )

    # Guards against an entry host that reports ready while connections of
    # callers are still refused.
    def test_host_that_cannot_listen_for_callers_is_never_ready(self) -> None:
        running = self.start()
        ip, _, port = running.hosts["bole-1"].caller_address.partition(":")
        with socket.create_server((ip, int(port))):
            host = running.start_host("bole-1")

            def has_exited() -> bool:
                self.assertFalse(accepts_connections(host.operator_address))
                return running.hosts["bole-1"].process.exit_code is not None

            running.wait_until(
                has_exited, "bole-1 has exited", fleet.READY_TIMEOUT_S
            )

    def test_processes_are_stopped_on_exit(self) -> None:
        with fleet.Fleet(deployments.small(), start_hosts=False) as running:
            stand_ins = [running.log, running.endpoints, running.workers]
        codes = [stand_in.process.exit_code for stand_in in stand_ins]
        self.assertEqual([0, 0, 0], codes)


class PortPickerTest(testtools.TestCase):
    """Ports of fleets that run at the same time."""

    def test_picked_port_is_kept_for_its_host(self) -> None:
        with fleet_plan.PortPicker() as picker:
            ip, _, port = picker.address().rpartition(":")
            with socket.socket() as other:
                self.assertRaises(OSError, other.bind, (ip, int(port)))
            with socket.create_server((ip, int(port))) as host:
                self.assertEqual(int(port), host.getsockname()[1])
