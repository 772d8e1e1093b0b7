"""The composition root: creates and wires the components of a host."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random
import secrets
import signal
import threading
from typing import final
from typing import Self

import logbook

from comfreylatch._connection import address
from comfreylatch._connection import endpoint_client
from comfreylatch._connection import host_list_client
from comfreylatch._connection import http
from comfreylatch._connection import http_server
from comfreylatch._connection import log_client
from comfreylatch._connection import peer_server
from comfreylatch._connection import routes
from comfreylatch._connection import worker_client
from comfreylatch._ports import clock as clock_port
from comfreylatch._process import appender as appender_module
from comfreylatch._process import catch_up
from comfreylatch._process import dispatch_marks
from comfreylatch._process import follower as follower_module
from comfreylatch._process import host_list
from comfreylatch._process import host_status
from comfreylatch._process import journal as journal_module
from comfreylatch._process import loans
from comfreylatch._process import local_state
from comfreylatch._process import logs
from comfreylatch._process import membership as membership_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import operator_pages
from comfreylatch._process import pause_detector
from comfreylatch._process import peer_service
from comfreylatch._process import reasons
from comfreylatch._process import record_pusher
from comfreylatch._process import resident
from comfreylatch._process import settings as settings_module
from comfreylatch._process import shares as shares_module
from comfreylatch._process import shutdown
from comfreylatch._process import snapshot_publisher
from comfreylatch._process import startup_waits
from comfreylatch._process import stream_state
from comfreylatch._process import ticket_handler
from comfreylatch._process.batch import service as batch_service
from comfreylatch._request import dispatch_guard
from comfreylatch._request import router as router_module
from comfreylatch._version import configuration_fold
from comfreylatch._version import job_records

CONFIG_STREAM = "config"
MAX_BODY_BYTES = 8 * 1024 * 1024
OPERATOR_THREADS = 8
UNBOUNDED_STARTUP_WAIT_MS = 2**40
STOP_CHECK_INTERVAL_S = 0.2
FAILED_EXIT_CODE = 1

_logger = logbook.Logger(__name__)


@final
class EntryHost:
    """An entry host; entering it starts its components in order."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._stack = contextlib.ExitStack()
        self._clock = clock_port.SystemClock()
        self._metrics = metrics_module.Metrics()
        self.host_id = f"{settings.seat}-{secrets.token_hex(4)}"
        self._journal = journal_module.Journal(self.host_id, self._clock)
        self._state = local_state.LocalState(
            settings.seat, settings.zone, self.host_id, self._clock
        )
        self.superseded = threading.Event()
        self._make_platform()
        self._make_membership()
        self._make_configuration()
        self._make_requests()
        self._make_batch()
        self._make_servers()

    def __enter__(self) -> Self:
        enter = self._stack.enter_context
        enter(self._log)
        enter(self._host_list)
        enter(self._peer_server)
        enter(self._membership)
        enter(self._config_appender)
        enter(self._config)
        enter(self._client)
        enter(self._ledger)
        enter(self._gate)
        enter(self._router)
        enter(self._batch)
        for publisher in self._publishers:
            enter(publisher)
        enter(self._poller)
        enter(self._pause_detector)
        enter(self._caller_server)
        # Last, as it serves the readiness page.
        enter(self._operator_server)
        logs.event(
            _logger,
            "serving",
            host=self.host_id,
            callers=self._caller_server.address,
            operators=self._operator_server.address,
        )
        return self

    def __exit__(self, *_: object) -> None:
        self._stack.close()

    def drain(self) -> bool:
        """Stops gracefully; returns whether all requests were answered."""
        deps = shutdown.ShutdownDependencies(
            state=self._state,
            callers=self._caller_server,
            router=self._router,
            batch=self._batch,
            ledger=self._ledger,
            gate=self._gate,
            membership=self._membership,
            clock=self._clock,
        )
        return shutdown.stop_gracefully(
            deps, self._settings.timing.stop_timeout_ms
        )

    def _make_platform(self) -> None:
        timing = self._settings.timing
        platform = self._settings.platform
        self._log = log_client.LogClient(
            platform.log_address, timing.log_timeout_ms
        )
        self._host_list = host_list_client.HostListClient(
            platform.host_list_address, timing.log_timeout_ms
        )

    def _make_membership(self) -> None:
        self._membership = membership_module.Membership(
            self._settings, self._state, self._metrics, self._clock
        )
        self.superseded = self._membership.superseded

    def _make_configuration(self) -> None:
        settings = self._settings
        self._fold = configuration_fold.ConfigurationFold()
        self._config_appender = appender_module.StreamAppender(
            self._log, CONFIG_STREAM, self.host_id, self._metrics, self._clock
        )
        pusher = record_pusher.OwnRecordPusher(self._membership, self.host_id)

        def after_apply(applied: stream_state.Applied) -> None:
            self._config_appender.observe(applied)
            pusher.observe(applied)

        self._config = follower_module.StreamFollower(
            self._log,
            CONFIG_STREAM,
            self._fold,
            self._metrics,
            self._clock,
            catch_up=catch_up.PeerCatchUp(
                self._membership,
                settings.zone,
                settings.timing.peer_timeout_ms,
            ),
            after_apply=after_apply,
        )
        self._fold.set_age_source(self._config.age_ms)
        self._ticket_handler = ticket_handler.TicketHandler(
            self._config_appender,
            self._fold,
            self._config,
            self._membership,
            self._journal,
            self._metrics,
            self._clock,
            settings.seat,
        )

    def _make_requests(self) -> None:
        settings = self._settings
        seed = settings.routing.seed or secrets.randbits(32)
        max_hold_time = startup_waits.MaxSlotHoldTime(self._fold)
        shares = shares_module.FixedShares(
            self._fold,
            settings.zone,
            settings.seat,
            self._clock,
            UNBOUNDED_STARTUP_WAIT_MS,
            self._membership,
        )
        self._ledger = loans.LoanLedger(
            shares,
            settings.zone,
            settings.seat,
            self.host_id,
            self._membership,
            max_hold_time.current_ms,
            self._metrics,
            self._clock,
            random.Random(seed),
            settings.timing.peer_timeout_ms,
        )
        self._marks = dispatch_marks.DispatchMarks(self.host_id, self._clock)
        self._gate = local_state.SeatGate(
            local_state.GateDependencies(
                self._config,
                self._fold,
                self._membership,
                shares,
                lambda: startup_waits.predecessor_hold_ms(
                    max_hold_time, self._ledger
                ),
                self._marks.assume_complete,
                self._clock,
            )
        )
        self._pause_detector = pause_detector.PauseDetector(
            self._clock,
            lambda _: shares.suspend_until(
                self._clock.monotonic_ms()
                + startup_waits.seat_conflict_wait_ms(settings.timing)
            ),
        )
        self._client = endpoint_client.EndpointClient(
            settings.timing.connect_timeout_ms, self._clock
        )
        self._router = router_module.RequestRouter(
            self._fold,
            self._ledger,
            self._client,
            self._membership,
            self._metrics,
            self._journal,
            self._clock,
            settings,
            seed,
            dispatch_guard.QuorumGuard(
                self._fold,
                self._membership,
                self._marks,
                settings.seat,
                self.host_id,
                self._clock,
                settings.routing.mark_keep_ms,
            ),
        )

    def _make_batch(self) -> None:
        settings = self._settings
        self._batch = batch_service.BatchService(
            settings,
            self.host_id,
            self._log,
            self._fold,
            worker_client.WorkerClient(),
            self._journal,
            self._metrics,
            self._clock,
            catch_up=catch_up.PeerCatchUp(
                self._membership,
                settings.zone,
                settings.timing.peer_timeout_ms,
                zone_only=True,
            ),
        )
        self._poller = host_list.HostListPoller(
            self._host_list,
            settings.timing.host_list_ms,
            (self._router.update_host_list, self._batch.update_host_list),
        )
        zone_stream = job_records.zone_stream(settings.zone)
        self._state.attach(self._config, self._batch.follower, self._router)
        self._followers = {
            CONFIG_STREAM: self._config,
            zone_stream: self._batch.follower,
        }
        self._publishers = [
            self._make_publisher(self._config, settings.all_seats),
            self._make_publisher(self._batch.follower, settings.zone_seats),
        ]

    def _make_servers(self) -> None:
        settings = self._settings
        service = peer_service.PeerService(
            self._state,
            self._membership,
            self._followers,
            self._ledger,
            self._router,
            self._marks,
            self._journal,
        )
        self._peer_server = peer_server.PeerServer(
            address.parse(settings.peer_address).unwrap(),
            service,
            self._metrics,
        )
        self._caller_server = http_server.HttpServer(
            settings.caller_address,
            self._handle_caller,
            settings.threads,
            MAX_BODY_BYTES,
        )
        self._operator_server = http_server.HttpServer(
            settings.operator_address,
            routes.Routes(self._operator_routes()).handle,
            OPERATOR_THREADS,
            MAX_BODY_BYTES,
        )

    def _operator_routes(self) -> list[routes.Route]:
        pages = operator_pages.OperatorPages(
            self._journal,
            self._metrics,
            {
                "host": self._own_status,
                "peers": lambda: operator_pages.peer_statuses(
                    self._membership.views(), self._clock.monotonic_ms()
                ),
                "slots": self._ledger.status,
                "batch": self._batch.status,
            },
            self._is_ready,
            self._membership,
        )
        return [
            *pages.routes(),
            *self._ticket_handler.routes(),
            *self._batch.routes(),
        ]

    def _own_status(self) -> host_status.HostStatus:
        return host_status.build_host_status(
            self._settings, self._state, self._config, self._gate
        )

    def _handle_caller(self, request: http.HttpRequest) -> http.HttpReply:
        if request.path.startswith("/services/"):
            return self._router.handle(request)
        return http.error_reply(
            404,
            reasons.RefusalReason.BAD_REQUEST,
            "unknown path; services are at /services/NAME",
        )

    def _is_ready(self) -> bool:
        is_up = self._gate.is_evaluated.is_set()
        return is_up and not self._state.stopping.is_set()

    def _make_publisher(
        self,
        follower: follower_module.StreamFollower,
        seats: Callable[[], Sequence[str]],
    ) -> snapshot_publisher.SnapshotPublisher:
        return snapshot_publisher.SnapshotPublisher(
            self._log,
            follower,
            self.host_id,
            self._settings.seat,
            seats,
            self._metrics,
            self._clock,
        )


def run(settings: settings_module.Settings) -> int:
    """Runs an entry host until a signal, or until it is superseded.

    Returns:
        0 if every request was answered before the stop; 1 if some were cut
        off, or if another process has taken this host's seat.
    """
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    with logs.TextLogOutput(settings.log_level):
        resident.mark(resident.LIBRARIES)
        with EntryHost(settings) as host:
            while not stop.wait(STOP_CHECK_INTERVAL_S):
                if host.superseded.is_set():
                    logs.error(_logger, "superseded", host=host.host_id)
                    break
            finished = host.drain()
            was_superseded = host.superseded.is_set()
    return 0 if finished and not was_superseded else FAILED_EXIT_CODE
