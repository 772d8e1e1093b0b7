"""Snapshots of a stream's folded state, and their encoding on the log."""

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
        offset: Offset of the last record it includes.
        digest: Digest of the fold at that offset.
        writers: Positions of the known writers, so that repeated records are
            still dropped after a restore.
        fold: The fold's own snapshot.
    """

    stream: str
    offset: int
    digest: str
    writers: tuple[writers.WriterPosition, ...]
    fold: bytes


@attrs.frozen
class SnapshotChunk:
    """Body of a record that carries one piece of an encoded snapshot.

    Attributes:
        stream: Name of the stream of the snapshot.
        offset: Offset of the snapshot.
        checksum: Hash of the whole encoded snapshot, which also identifies it.
        index: Number of this piece, from 0.
        count: Number of pieces of the snapshot.
        data: The piece, base64-encoded.
    """

    stream: str
    offset: int
    checksum: str
    index: int
    count: int
    data: str


@attrs.frozen
class BadSnapshot:
    """Bytes or chunks that don't form a complete, valid snapshot."""

    detail: str


records.register("snapshot-chunk", SnapshotChunk)


def encode(snapshot: StreamSnapshot) -> bytes:
    """Encodes and compresses a snapshot; zlib adds a checksum."""
    return zlib.compress(msgspec.json.encode(snapshot))


def decode(encoded: bytes) -> result.Result[StreamSnapshot, BadSnapshot]:
    """Reverses `encode`."""
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(encoded, MAX_SNAPSHOT_BYTES)
        if not decompressor.eof:
            return result.Err(
                BadSnapshot("snapshot is truncated or exceeds the size limit")
            )
        return result.Ok(msgspec.json.decode(plain, type=StreamSnapshot))
    except (zlib.error, msgspec.MsgspecError) as error:
        return result.Err(BadSnapshot(str(error)))


def split(snapshot: StreamSnapshot) -> list[SnapshotChunk]:
    """Returns the chunks of a snapshot, in order."""
    encoded = encode(snapshot)
    checksum = xxhash.xxh3_128_hexdigest(encoded)
    pieces = [
        encoded[start : start + CHUNK_BYTES]
        for start in range(0, len(encoded), CHUNK_BYTES)
    ]
    return [
        SnapshotChunk(
            stream=snapshot.stream,
            offset=snapshot.offset,
            checksum=checksum,
            index=index,
            count=len(pieces),
            data=base64.b64encode(piece).decode("ascii"),
        )
        for index, piece in enumerate(pieces)
    ]


def join(
    chunks: Iterable[SnapshotChunk],
) -> result.Result[StreamSnapshot, BadSnapshot]:
    """Joins the chunks of one snapshot and verifies its checksum."""
    ordered = sorted(chunks, key=lambda chunk: chunk.index)
    if not ordered or len(ordered) != ordered[0].count:
        return result.Err(BadSnapshot("snapshot chunks are missing"))
    try:
        encoded = b"".join(
            base64.b64decode(chunk.data, validate=True) for chunk in ordered
        )
    except ValueError as error:
        return result.Err(BadSnapshot(str(error)))
    if xxhash.xxh3_128_hexdigest(encoded) != ordered[0].checksum:
        return result.Err(BadSnapshot("snapshot checksum does not match"))
    return decode(encoded)
