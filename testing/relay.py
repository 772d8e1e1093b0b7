"""TCP relays with fault injection, many in one process.

Standard input or `--spec FILE` holds `[{"name", "target", "port"}, ...]`.

Control: `{"relay": PATTERN, ...}` with any of the fields of `RelayFaults`;
PATTERN is a shell pattern for relay names, so that `peer/bole/*` cuts the peer
connections of a zone in one direction only.
"""

from __future__ import annotations

import argparse
import asyncio
import fnmatch
import random
import socket
import struct
import threading
from typing import Any

import attrs

from testing.standins import endpoint
from testing.standins import serving

CHUNK_BYTES = 65_536
# The usual time before a sender retransmits a lost segment.
RETRANSMISSION_DELAY_MS = 200.0
POLL_INTERVAL_S = 0.02
NO_LIMIT = -1
HELD_TEXT_BYTES = 2_048


@attrs.frozen
class RelaySpec:
    """One relay of the process; `target` is `IP:port`."""

    name: str
    target: str
    port: int = 0


@attrs.frozen
class RelayFaults:
    """Active faults of one relay.

    Attributes:
        delay_ms: One-way delay of each direction.
        jitter_ms: Maximum random addition to the delay of each chunk.
        loss: Probability that a retransmission delays a chunk.
        cut: New connections are not forwarded, and open ones stall.
        half_open: Connections are accepted, but nothing is forwarded.
        block_to_target: Bytes towards the target stall.
        block_from_target: Bytes from the target stall.
        truncate_after: Number of bytes from the target after which a
            connection is closed; -1 for no limit.
        reset_after: Number of bytes from the target after which a
            connection is reset; -1 for no limit.
    """

    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    loss: float = 0.0
    cut: bool = False
    half_open: bool = False
    block_to_target: bool = False
    block_from_target: bool = False
    truncate_after: int = NO_LIMIT
    reset_after: int = NO_LIMIT


@attrs.frozen
class HeldChunk:
    """Bytes that a fault held back; `text` is their beginning."""

    relay: str
    to_target: bool
    text: str


class Relay:
    """One listening address and its connections."""

    def __init__(
        self, spec: RelaySpec, seed: int, journal: serving.Journal
    ) -> None:
        self.spec = spec
        self._journal = journal
        self.faults = RelayFaults()
        self.address = ""
        self._random = random.Random(f"{seed}/{spec.name}")

    async def start(self) -> None:
        """Starts to listen and sets the address."""
        server = await asyncio.start_server(
            self._serve, serving.LOOPBACK, self.spec.port, limit=CHUNK_BYTES
        )
        port = server.sockets[0].getsockname()[1]
        self.address = f"{serving.LOOPBACK}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer = None
        try:
            await self._wait_while(
                lambda: self.faults.cut or self.faults.half_open
            )
            ip, _, port = self.spec.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port), limit=CHUNK_BYTES
            )
            _disable_nagle(writer)
            _disable_nagle(target_writer)
            async with asyncio.TaskGroup() as group:
                self._forward(group, reader, target_writer, to_target=True)
                self._forward(group, target_reader, writer, to_target=False)
        except* OSError:
            pass
        finally:
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()

    def _forward(
        self,
        group: asyncio.TaskGroup,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        """Forwards one direction; chunks stay in order, but delays overlap."""
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        group.create_task(self._receive(reader, queue))
        group.create_task(self._send(queue, writer, to_target))

    async def _wait_while(self, condition: Any) -> None:
        while condition():
            await asyncio.sleep(POLL_INTERVAL_S)

    def _is_blocked(self, to_target: bool) -> bool:
        faults = self.faults
        if faults.cut or faults.half_open:
            return True
        return faults.block_to_target if to_target else faults.block_from_target

    def _latency_ms(self) -> float:
        faults = self.faults
        latency_ms = faults.delay_ms
        latency_ms += self._random.uniform(0.0, faults.jitter_ms)
        if faults.loss and self._random.random() < faults.loss:
            latency_ms += RETRANSMISSION_DELAY_MS
        return latency_ms

    async def _receive(
        self,
        reader: asyncio.StreamReader,
        queue: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        loop = asyncio.get_running_loop()
        chunk = b"-"
        while chunk:
            chunk = await reader.read(CHUNK_BYTES)
            queue.put_nowait((loop.time() + self._latency_ms() / 1_000, chunk))

    async def _send(
        self,
        queue: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        loop = asyncio.get_running_loop()
        sent = 0
        while True:
            due_s, chunk = await queue.get()
            left_s = due_s - loop.time()
            if left_s > 0:
                await asyncio.sleep(left_s)
            if chunk and self._is_blocked(to_target):
                text = chunk[:HELD_TEXT_BYTES].decode("latin-1")
                self._journal.add(HeldChunk(self.spec.name, to_target, text))
            await self._wait_while(lambda: self._is_blocked(to_target))
            if not chunk:
                writer.write_eof()
                return
            if not to_target:
                chunk = self._apply_byte_limits(chunk, sent, writer)
            sent += len(chunk)
            writer.write(chunk)
            await writer.drain()

    def _apply_byte_limits(
        self, chunk: bytes, sent: int, writer: asyncio.StreamWriter
    ) -> bytes:
        faults = self.faults
        if NO_LIMIT < faults.reset_after < sent + len(chunk):
            writer.write(chunk[: max(faults.reset_after - sent, 0)])
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            raise ConnectionResetError("reset by the relay")
        if NO_LIMIT < faults.truncate_after < sent + len(chunk):
            writer.write(chunk[: max(faults.truncate_after - sent, 0)])
            raise ConnectionAbortedError("truncated by the relay")
        return chunk


def _disable_nagle(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
    )


class RelayGroup:
    """All relays of the process, on one event loop in a thread."""

    def __init__(self, specs: list[RelaySpec], seed: int) -> None:
        self.journal = serving.Journal()
        self._relays = [Relay(spec, seed, self.journal) for spec in specs]
        self._loop = asyncio.new_event_loop()

    def start(self) -> None:
        """Starts to listen on every address."""
        threading.Thread(target=self._loop.run_forever, daemon=True).start()
        for relay in self._relays:
            asyncio.run_coroutine_threadsafe(relay.start(), self._loop).result()

    def addresses(self) -> dict[str, str]:
        """Returns the address of each relay by name."""
        return {relay.spec.name: relay.address for relay in self._relays}

    def control(self, change: dict[str, Any]) -> dict[str, int]:
        """Sets faults of all relays that match and returns their number."""
        pattern = change.pop("relay")
        matched = 0
        for relay in self._relays:
            if fnmatch.fnmatchcase(relay.spec.name, pattern):
                relay.faults = attrs.evolve(relay.faults, **change)
                matched += 1
        return {"relays": matched}


def main() -> None:
    """Runs the relays until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", default="-", help="file of specs")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--control-port", type=int, default=0)
    args = parser.parse_args()
    group = RelayGroup(endpoint.read_specs(args.spec, RelaySpec), args.seed)
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
