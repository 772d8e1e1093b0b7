"""Assembles the batch service that an entry host runs for its zone."""

from __future__ import annotations

import contextlib
import types
from typing import final

import attrs

from comfreylatch._connection import http
from comfreylatch._connection import routes
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import configuration as configuration_port
from comfreylatch._ports import hosts
from comfreylatch._ports import log as log_port
from comfreylatch._ports import workers
from comfreylatch._process import appender as appender_module
from comfreylatch._process import catch_up as catch_up_module
from comfreylatch._process import follower as follower_module
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import settings as settings_module
from comfreylatch._process.batch import job_handler
from comfreylatch._process.batch import link_pool
from comfreylatch._process.batch import owner_status
from comfreylatch._process.batch import ownership as ownership_module
from comfreylatch._process.batch import placement
from comfreylatch._process.batch import zone_owner
from comfreylatch._version import job_records
from comfreylatch._version import zone_fold

# Longest wait of a read. A shorter one shows earlier that the fold has reached
# the head of the stream.
READ_WAIT_MS = 1_000


@attrs.frozen
class BatchStatus:
    """Batch part of the `status` command's output.

    Attributes:
        zone: Zone whose stream this host follows.
        age_ms: Time since the fold was known to be at the stream's head.
        digest: Hash of the folded state.
        owner: Owner of the zone's workers, and counts of jobs.
    """

    zone: str
    age_ms: int
    digest: str
    owner: owner_status.OwnerStatus


@final
class BatchService:
    """Runs appender, follower, ownership, owner's loop and job handler.

    A context manager; a planned stop calls `release` before it exits.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        host_id: str,
        log: log_port.LogPort,
        source: configuration_port.ConfigurationSource,
        worker_port: workers.WorkerPort,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        *,
        catch_up: catch_up_module.CatchUpSource | None = None,
        policy: placement.Policy = placement.Policy.PREDICTED_COST,
    ) -> None:
        zone = settings.zone
        stream = job_records.zone_stream(zone)
        self._zone = zone
        self._stack = contextlib.ExitStack()
        self.fold = zone_fold.ZoneFold()
        self.appender = appender_module.StreamAppender(
            log, stream, host_id, metrics, clock
        )
        self.follower = follower_module.StreamFollower(
            log,
            stream,
            self.fold,
            metrics,
            clock,
            wait_ms=READ_WAIT_MS,
            catch_up=catch_up,
            after_apply=self.appender.observe,
        )
        self._ownership = ownership_module.Ownership(
            host_id,
            zone,
            self.appender,
            self.follower,
            self.fold,
            source,
            journal,
            metrics,
            clock,
        )
        self._pool = link_pool.LinkPool(
            host_id, worker_port, self._ownership, metrics, clock
        )
        self._owner = zone_owner.ZoneOwner(
            zone,
            self._ownership,
            self.appender,
            self.follower,
            self.fold,
            source,
            self._pool,
            journal,
            metrics,
            clock,
            policy,
        )
        self._job_handler = job_handler.JobHandler(
            zone,
            self.appender,
            self.follower,
            self.fold,
            source,
            journal,
            metrics,
        )
        self._owner_stack = contextlib.ExitStack()

    def __enter__(self) -> BatchService:
        self._stack.enter_context(self.appender)
        self._stack.enter_context(self.follower)
        self._owner_stack.enter_context(self._ownership)
        self._owner_stack.enter_context(self._pool)
        self._owner_stack.enter_context(self._owner)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._owner_stack.close()
        self._stack.close()

    def routes(self) -> list[routes.Route]:
        """Returns the HTTP routes of jobs."""
        return [
            routes.Route("POST", "/jobs", self.handle),
            routes.Route("GET", "/jobs", self.handle),
            routes.Route("GET", "/jobs/*", self.handle),
            routes.Route("DELETE", "/jobs/*", self.handle),
        ]

    def handle(self, request: http.HttpRequest) -> http.HttpReply:
        """Handles a request for `/jobs` or `/jobs/ID`."""
        return self._job_handler.handle(request)

    def update_host_list(self, host_list: hosts.HostList) -> None:
        """Passes a new list of hosts to the owner and the job handler."""
        self._owner.update_host_list(host_list)
        self._job_handler.update_host_list(host_list)

    def release(self) -> None:
        """Stops sending commands to workers, then releases the claim.

        Tasks run on under their leases until the next owner takes over.
        """
        self._job_handler.stop_accepting()
        self._owner_stack.close()
        self._ownership.release()

    def status(self) -> BatchStatus:
        """Returns the batch part of the `status` command's output."""
        return BatchStatus(
            zone=self._zone,
            age_ms=self.follower.age_ms(),
            digest=self.follower.digest(),
            owner=self._owner.status(),
        )
