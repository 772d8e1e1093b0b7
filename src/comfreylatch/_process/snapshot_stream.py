"""The stream on which snapshots of another stream are published."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import result

from comfreylatch._ports import log as log_port
from comfreylatch._version import records
from comfreylatch._version import snapshots

MAX_READ_ENTRIES = 64


@attrs.frozen
class NoSnapshot:
    """The stream holds no complete snapshot, or can't be read."""

    detail: str


def name_of(stream: str) -> str:
    """Name of the stream with the snapshots of `stream`."""
    return f"{stream}.snapshots"


def load(
    log: log_port.LogPort, stream: str
) -> result.Result[snapshots.StreamSnapshot, NoSnapshot]:
    """Loads the latest complete snapshot that the log still holds."""
    chunks_by_key: dict[
        tuple[int, str], dict[int, snapshots.SnapshotChunk]
    ] = {}
    complete_key: tuple[int, str] | None = None
    start = 0
    while True:
        match read(log, stream, start):
            case result.Ok(batch):
                pass
            case result.Err(error):
                return result.Err(NoSnapshot(str(error)))
        for chunk in decode_chunks(batch):
            key = (chunk.offset, chunk.checksum)
            if complete_key is not None and key <= complete_key:
                continue
            chunks_by_key.setdefault(key, {})[chunk.index] = chunk
            if len(chunks_by_key[key]) == chunk.count:
                complete_key = key
                chunks_by_key = {key: chunks_by_key[key]}
        if not batch.entries:
            break
        start = batch.next_offset
    if complete_key is None:
        return result.Err(NoSnapshot("no complete snapshot on the stream"))
    joined = snapshots.join(chunks_by_key[complete_key].values())
    return joined.map_err(lambda bad: NoSnapshot(bad.detail))


def read(
    log: log_port.LogPort, stream: str, start: int
) -> result.Result[log_port.LogBatch, log_port.ReadError]:
    """Reads entries from an offset, or from the first one if it expired."""
    name = name_of(stream)
    answer = log.read(name, start, MAX_READ_ENTRIES, 0)
    match answer:
        case result.Err(log_port.LogExpired(first_offset)):
            return log.read(name, first_offset, MAX_READ_ENTRIES, 0)
        case _:
            return answer


def decode_chunks(
    batch: log_port.LogBatch,
) -> Iterator[snapshots.SnapshotChunk]:
    """Decodes the chunks of a batch and skips other entries."""
    for entry in batch.entries:
        chunk = decode_chunk(entry)
        if chunk is not None:
            yield chunk


def decode_chunk(entry: log_port.LogEntry) -> snapshots.SnapshotChunk | None:
    """Decodes the chunk in an entry; None if it holds something else."""
    decoded = records.decode(entry.payload)
    if decoded.is_err():
        return None
    body = decoded.ok()[1]
    if isinstance(body, snapshots.SnapshotChunk):
        return body
    return None
