"""A stand-in of the machines API, as PROTOCOL.md describes it."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import threading
from typing import Any

from rig import executor as executor_module
from rig import record as record_module
from rig import web

MAINTENANCE_S = 2.0

MakeExecutor = Callable[[str, int], executor_module.Executor]
OnUpkeep = Callable[[str, list[str]], None]


@dataclasses.dataclass
class _Machine:
    name: str
    executor: executor_module.Executor
    state: str = "up"
    lives: int = 1
    token: int = 0
    waves_done: set[int] = dataclasses.field(default_factory=set)


class Machines:
    """The machines of a pool, each with the executor that runs on it.

    Args:
        pool: Name of the pool.
        names: Names of the machines.
        make_executor: Starts an executor on a machine, for its n-th life.
        record: Gets each upkeep.
        on_upkeep: Called when an upkeep begins, with the tasks that it ends.
    """

    def __init__(
        self,
        pool: str,
        names: list[str],
        make_executor: MakeExecutor,
        record: record_module.Record,
        on_upkeep: OnUpkeep,
    ) -> None:
        self._pool = pool
        self._make_executor = make_executor
        self._record = record
        self._on_upkeep = on_upkeep
        self._lock = threading.Lock()
        self._machines = {
            name: _Machine(name, make_executor(name, 1)) for name in names
        }
        self._server = web.Server(self._handle)
        self.address = self._server.address

    def close(self) -> None:
        """Stops serving."""
        self._server.close()

    def executors(self) -> list[executor_module.Executor]:
        """Returns the current executors."""
        with self._lock:
            return [machine.executor for machine in self._machines.values()]

    def executor(self, name: str) -> executor_module.Executor:
        """Returns the executor of a machine."""
        with self._lock:
            return self._machines[name].executor

    def lose(self, name: str) -> None:
        """Loses a machine for good, without a warning."""
        with self._lock:
            machine = self._machines[name]
            machine.state = "down"
        machine.executor.crash()

    def _handle(self, request: web.Request) -> web.Reply:
        if request.path == "/v1/machines":
            with self._lock:
                listed = [self._list(each) for each in self._machines.values()]
            return web.json_reply(200, {"Machines": listed})
        if request.path == "/v1/machine-upkeep":
            return self._order_upkeep(
                json.loads(request.body),
                int(request.headers.get("x-fencing-token", "0")),
            )
        return web.Reply(404)

    def _list(self, machine: _Machine) -> dict[str, Any]:
        spec = machine.executor.spec
        return {
            "Machine": machine.name,
            "Pool": self._pool,
            "State": machine.state,
            "Zone": spec.zone,
            "Labels": list(spec.labels),
            "Capacity": {
                "CpuMillicores": spec.millicores,
                "RequestedMemoryMb": 64_000,
            },
            "Id": spec.executor_id if machine.state == "up" else "",
        }

    def _order_upkeep(self, body: dict[str, Any], token: int) -> web.Reply:
        wave = body["Wave"]
        with self._lock:
            machine = self._machines.get(body["Machine"])
            if machine is None:
                return web.Reply(400)
            if token < machine.token:
                return web.json_reply(409, {"Reason": "fence"})
            machine.token = token
            if wave in machine.waves_done:
                return web.json_reply(200, {})
            if machine.state != "up":
                return web.json_reply(409, {"Reason": "busy"})
            machine.waves_done.add(wave)
            machine.state = "upkeep"
            tasks = machine.executor.end_by_platform()
        self._record.note(
            "upkeep", machine=machine.name, wave=wave, ends=",".join(tasks)
        )
        self._on_upkeep(machine.name, tasks)
        timer = threading.Timer(MAINTENANCE_S, self._bring_back, (machine,))
        timer.daemon = True
        timer.start()
        return web.json_reply(200, {})

    def _bring_back(self, machine: _Machine) -> None:
        with self._lock:
            machine.lives += 1
            machine.executor = self._make_executor(machine.name, machine.lives)
            machine.state = "up"
        self._record.note("back", machine=machine.name)
