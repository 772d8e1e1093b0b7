"""Snapshots of a stream's folded state, and their form on the log."""

from __future__ import annotations

import base64
from collections.abc import Iterable
import zlib

import attrs
import msgspec
import result
import xxhash

from comfreylatch._version import records
from comfreylatch._version import writers

CHUNK_BYTES = 48 * 1_024
MAX_SNAPSHOT_BYTES = 64 * 1_024 * 1_024


@attrs.frozen
class StreamSnapshot:
    """The state of a stream's fold after one offset.

    Attributes:
        stream: Name of the stream.
        offset: Offset of the last record in it.
        digest: Digest of the fold at that offset.
        writers: The writers known, so that repetitions are still dropped.
        fold: The fold's own state.
    """

    stream: str
    offset: int
    digest: str
    writers: tuple[writers.WriterPosition, ...]
    fold: bytes


@attrs.frozen
class SnapshotChunk:
    """Body of a record that carries a part of an encoded snapshot.

    Attributes:
        stream: Name of the stream that the snapshot is of.
        offset: Offset of the snapshot.
        checksum: Hash of the whole encoded snapshot; names it, too.
        index: Number of this part, from 0.
        count: Number of parts.
        data: The part, in base 64.
    """

    stream: str
    offset: int
    checksum: str
    index: int
    count: int
    data: str


@attrs.frozen
class BadSnapshot:
    """Bytes that are no whole snapshot."""

    detail: str


records.register("snapshot-chunk", SnapshotChunk)


def encode(snapshot: StreamSnapshot) -> bytes:
    """Encodes and compresses a snapshot; the form carries a checksum."""
    return zlib.compress(msgspec.json.encode(snapshot))


def decode(encoded: bytes) -> result.Result[StreamSnapshot, BadSnapshot]:
    """Reverses `encode`."""
    try:
        opened = zlib.decompressobj()
        plain = opened.decompress(encoded, MAX_SNAPSHOT_BYTES)
        if not opened.eof:
            return result.Err(BadSnapshot("cut short, or too long"))
        return result.Ok(msgspec.json.decode(plain, type=StreamSnapshot))
    except (zlib.error, msgspec.MsgspecError) as error:
        return result.Err(BadSnapshot(str(error)))


def split(snapshot: StreamSnapshot) -> list[SnapshotChunk]:
    """The chunks of a snapshot, in order."""
    encoded = encode(snapshot)
    checksum = xxhash.xxh3_128_hexdigest(encoded)
    parts = [
        encoded[start : start + CHUNK_BYTES]
        for start in range(0, len(encoded), CHUNK_BYTES)
    ]
    return [
        SnapshotChunk(
            stream=snapshot.stream,
            offset=snapshot.offset,
            checksum=checksum,
            index=index,
            count=len(parts),
            data=base64.b64encode(part).decode("ascii"),
        )
        for index, part in enumerate(parts)
    ]


def join(
    chunks: Iterable[SnapshotChunk],
) -> result.Result[StreamSnapshot, BadSnapshot]:
    """Puts the chunks of one snapshot together and checks them."""
    ordered = sorted(chunks, key=lambda chunk: chunk.index)
    if not ordered or len(ordered) != ordered[0].count:
        return result.Err(BadSnapshot("chunks are missing"))
    try:
        encoded = b"".join(
            base64.b64decode(chunk.data, validate=True) for chunk in ordered
        )
    except ValueError as error:
        return result.Err(BadSnapshot(str(error)))
    if xxhash.xxh3_128_hexdigest(encoded) != ordered[0].checksum:
        return result.Err(BadSnapshot("the checksum differs"))
    return decode(encoded)
