"""Follows one stream and folds its records in offset order."""

from __future__ import annotations

from collections.abc import Sequence
import random
import threading
import types
from typing import final

import logbook
import result

from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import log as log_port
from comfreylatch._ports import streams
from comfreylatch._process import backoff
from comfreylatch._process import catch_up as catch_up_module
from comfreylatch._process import logs
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import snapshot_stream
from comfreylatch._process import stream_state
from comfreylatch._version import snapshots

MAX_READ_ENTRIES = 256
DEFAULT_READ_WAIT_MS = 2_000
EARLY_ANSWER_DELAY_MS = 100
NEVER_SYNCED_AGE_MS = 2**53

_logger = logbook.Logger(__name__)


@final
class StreamFollower:
    """Reads a stream on one thread; other threads may add peers' entries.

    Args:
        log: The platform's log.
        stream: Name of the stream.
        fold: Receives every record once, in offset order.
        metrics: Counts malformed records and retries.
        clock: Clock for the age of the state.
        wait_ms: How long the log may hold a read that finds nothing new.
        catch_up: Source of records when the log is down or has expired them.
        after_apply: Called after each change of the fold, outside any lock.
        retry: Backoff between failed reads.
        rng: Random number generator of the backoff.
    """

    def __init__(
        self,
        log: log_port.LogPort,
        stream: str,
        fold: streams.RecordFold,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        *,
        wait_ms: int = DEFAULT_READ_WAIT_MS,
        catch_up: catch_up_module.CatchUpSource | None = None,
        after_apply: stream_state.AfterApply | None = None,
        retry: backoff.Backoff | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._metrics = metrics
        self._clock = clock
        self._wait_ms = wait_ms
        self._catch_up = catch_up
        self._retry = retry or backoff.Backoff()
        self._rng = rng or random.Random()
        self._state = stream_state.StreamState(
            stream, fold, metrics, after_apply
        )
        self._first_offset = 0
        self._last_synced_ms = -1
        self._ready = False
        self._failures = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{stream}", daemon=True
        )

    def __enter__(self) -> StreamFollower:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the thread once the read in progress has returned."""
        self._closing.set()
        self._thread.join()

    @property
    def stream(self) -> str:
        """Name of the stream."""
        return self._stream

    @property
    def ready(self) -> bool:
        """Whether the state has ever caught up with the log or a peer."""
        return self._ready

    @property
    def first_offset(self) -> int:
        """Lowest offset the log still keeps, as of the last read."""
        return self._first_offset

    def offset(self) -> int:
        """Offset of the last record folded, -1 for none; never decreases."""
        return self._state.offset

    def digest(self) -> str:
        """Digest of the fold."""
        return self._state.digest()

    def position(self) -> tuple[int, str]:
        """Offset and digest of one consistent state, for heartbeats."""
        return self._state.position()

    def age_ms(self) -> int:
        """Time since the state was last known to match the head of the log.

        `NEVER_SYNCED_AGE_MS` if it never was.
        """
        if self._last_synced_ms < 0:
            return NEVER_SYNCED_AGE_MS
        return max(0, self._clock.monotonic_ms() - self._last_synced_ms)

    def wait_for(self, offset: int, timeout_ms: int) -> bool:
        """Waits until a record has been folded; False on timeout."""
        return self._state.wait_for(offset, timeout_ms)

    def snapshot(self) -> snapshots.StreamSnapshot:
        """The state after the current offset."""
        return self._state.snapshot()

    def apply_from_peer(self, entries: Sequence[log_port.LogEntry]) -> bool:
        """Applies entries that a peer has read from the log.

        Returns:
            Whether there were new entries that continue exactly from this
            host's offset; otherwise nothing was applied.
        """
        return self._state.apply(entries, stream_state.EntrySource.PEER)

    def serve_catch_up(
        self, after_offset: int
    ) -> result.Result[
        catch_up_module.CatchUp, catch_up_module.CatchUpUnavailable
    ]:
        """State for a peer to catch up with; Err until this host is ready."""
        if not self._ready:
            return result.Err(catch_up_module.CatchUpUnavailable("not ready"))
        return result.Ok(self._state.catch_up_from(after_offset))

    def step(self) -> int:
        """Reads the log once and folds the entries read.

        Returns:
            Milliseconds to wait before the next step.
        """
        started_ms = self._clock.monotonic_ms()
        requested_offset = self._state.offset + 1
        # Reads don't wait until a host is ready, so that a host whose state is
        # at the head of the log becomes ready soon after its start.
        wait_ms = self._wait_ms if self._ready else 0
        answer = self._log.read(
            self._stream, requested_offset, MAX_READ_ENTRIES, wait_ms
        )
        match answer:
            case result.Ok(batch):
                return self._apply_batch(
                    batch, requested_offset, started_ms, wait_ms
                )
            case result.Err(log_port.LogExpired(first_offset)):
                return self._recover_expired(first_offset)
            case result.Err(log_port.LogUnavailable(detail)):
                self._catch_up_from_peer()
                return self._record_failure(detail)

    def _apply_batch(
        self,
        batch: log_port.LogBatch,
        requested_offset: int,
        started_ms: int,
        wait_ms: int,
    ) -> int:
        if not batch.entries and batch.next_offset != requested_offset:
            return self._record_failure(
                f"the log continues at offset {batch.next_offset}, not at"
                f" {requested_offset}"
            )
        if batch.entries:
            self._state.apply(batch.entries, stream_state.EntrySource.LOG)
            if batch.entries[-1].offset > self._state.offset:
                return self._record_failure("the log's answer skips records")
        self._failures = 0
        self._first_offset = max(self._first_offset, batch.first_offset)
        if len(batch.entries) == MAX_READ_ENTRIES:
            return 0
        # While the log held back an empty answer, it had nothing newer than
        # this state.
        held_ms = self._clock.monotonic_ms() - started_ms
        unchanged_ms = 0 if batch.entries else min(held_ms, wait_ms)
        self._last_synced_ms = max(
            self._last_synced_ms, started_ms + unchanged_ms
        )
        self._ready = True
        if batch.entries:
            return 0
        # Limits the rate of reads of a log that doesn't hold empty answers.
        return max(0, min(EARLY_ANSWER_DELAY_MS, wait_ms - held_ms))

    def _record_failure(self, detail: str) -> int:
        self._failures += 1
        self._metrics.count(
            metrics_module.Counter.RETRIES, reasons.RetryReason.LOG_DOWN
        )
        if self._failures == 1:
            logs.warning(
                _logger,
                "read-failed",
                stream=self._stream,
                offset=self._state.offset,
                detail=detail,
            )
        return self._retry.delay_ms(self._failures, self._rng)

    def _recover_expired(self, first_offset: int) -> int:
        """Continues from a snapshot or a peer after records have expired."""
        loaded = snapshot_stream.load(self._log, self._stream)
        if loaded.is_ok():
            log_source = stream_state.EntrySource.LOG
            self._state.restore(loaded.ok(), log_source)
        if self._state.offset + 1 >= first_offset:
            return 0
        self._catch_up_from_peer()
        if self._state.offset + 1 >= first_offset:
            return 0
        return self._record_failure(
            f"records before {first_offset} have expired and neither a"
            " snapshot nor a peer has them"
        )

    def _catch_up_from_peer(self) -> None:
        """Catches up from a peer, if one has the state."""
        if self._catch_up is None:
            return
        fetched = self._catch_up.fetch(self._stream, self._state.offset)
        if fetched.is_err():
            return
        received = fetched.ok()
        source = stream_state.EntrySource.PEER
        if received.snapshot:
            match snapshots.decode(received.snapshot):
                case result.Ok(snapshot):
                    self._state.restore(snapshot, source)
                case result.Err(bad):
                    self._report_bad_peer_message("snapshot", bad.detail)
                    return
        if received.entries:
            self._state.apply(received.entries, source)
        self._verify_position(received)

    def _verify_position(self, received: catch_up_module.CatchUp) -> None:
        """Marks the state ready if it agrees with the peer's position."""
        offset, digest = self._state.position()
        if offset == received.offset and digest != received.digest:
            self._report_bad_peer_message("digest", f"at offset {offset}")
        elif offset >= max(received.offset, received.min_serving_offset):
            self._ready = True

    def _report_bad_peer_message(self, what: str, detail: str) -> None:
        self._metrics.count(metrics_module.Counter.BAD_PEER_MESSAGES, what)
        logs.error(
            _logger,
            "bad-peer-state",
            stream=self._stream,
            what=what,
            detail=detail,
        )

    def _run(self) -> None:
        while not self._closing.is_set():
            try:
                delay_ms = self.step()
            except Exception:
                logs.exception(
                    _logger, "follow-step-failed", stream=self._stream
                )
                delay_ms = self._retry.max_ms
            self._closing.wait(delay_ms / 1_000)
