"""HTTP handlers for change tickets and the objects they change."""

from __future__ import annotations

from typing import Any
from typing import final

import attrs
import msgspec
import result

from comfreylatch._connection import http
from comfreylatch._connection import routes
from comfreylatch._ports import clock as clock_port
from comfreylatch._ports import peers as peers_port
from comfreylatch._ports import streams
from comfreylatch._process import follower as follower_module
from comfreylatch._process import journal as journal_module
from comfreylatch._process import metrics as metrics_module
from comfreylatch._process import reasons
from comfreylatch._process import ticket_pages
from comfreylatch._version import configuration_fold
from comfreylatch._version import tickets
from comfreylatch._version import verdicts

DEFAULT_TIMEOUT_MS = 10_000
MAX_TIMEOUT_MS = 60_000
NOT_READY_RETRY_MS = 1_000
TIMEOUT_HEADER = "x-timeout-ms"


@attrs.frozen
class _Refusal:
    """Why a ticket was not appended."""

    status: int
    reason: reasons.RefusalReason
    detail: str
    retry_after_ms: int = 0


@final
class TicketHandler:
    """Handlers of `/tickets` and `/objects` on the operators' address.

    Only the fold decides on a ticket: a submission is answered once this
    host's fold has applied the ticket's record.
    """

    def __init__(
        self,
        appender: streams.RecordAppender,
        fold: configuration_fold.ConfigurationFold,
        follower: follower_module.StreamFollower,
        peers: peers_port.Peers,
        journal: journal_module.Journal,
        metrics: metrics_module.Metrics,
        clock: clock_port.Clock,
        seat: str,
    ) -> None:
        self._appender = appender
        self._fold = fold
        self._follower = follower
        self._peers = peers
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._seat = seat
        fold.on_ticket(self._record_verdict)

    def routes(self) -> list[routes.Route]:
        """Routes of tickets and objects."""
        return [
            routes.Route("POST", "/tickets", self.submit),
            routes.Route("GET", "/tickets", self.list_tickets),
            routes.Route("GET", "/tickets/*", self.show_ticket),
            routes.Route("GET", "/objects", self.list_objects),
        ]

    def submit(self, request: http.HttpRequest) -> http.HttpReply:
        """`POST /tickets`."""
        started_ms = self._clock.monotonic_ms()
        match self._parse(request.body):
            case result.Ok(ticket):
                reply = self._append_ticket(ticket, self._timeout_ms(request))
            case result.Err(reply):
                pass
        elapsed_ms = self._clock.monotonic_ms() - started_ms
        self._metrics.observe(metrics_module.Latency.TICKET, elapsed_ms * 1_000)
        return reply

    def list_tickets(self, request: http.HttpRequest) -> http.HttpReply:
        """`GET /tickets`."""
        del request
        entries = self._fold.tickets()
        return http.json_reply(200, ticket_pages.ticket_list(entries))

    def show_ticket(self, request: http.HttpRequest) -> http.HttpReply:
        """`GET /tickets/N`."""
        text = request.path.rpartition("/")[2]
        entry = None
        if text.isascii() and text.isdigit():
            entry = self._fold.ticket(int(text))
        if entry is None:
            return http.error_reply(
                404,
                "unknown-ticket",
                f"ticket {text} is unknown: this host has read the log up to"
                f" offset {self._follower.offset()}"
                f" ({ticket_pages.format_age(self._follower.age_ms())})",
            )
        decisions = self._journal.about(reasons.Subject.TICKET, text)
        page = ticket_pages.ticket_page(
            entry, self._own_view(), self._peers.views(), decisions
        )
        return http.json_reply(200, page)

    def list_objects(self, request: http.HttpRequest) -> http.HttpReply:
        """`GET /objects`."""
        del request
        page = ticket_pages.object_list(
            self._fold.objects(),
            self._fold.current(),
            self._follower.age_ms(),
        )
        return http.json_reply(200, page)

    def _record_verdict(self, entry: verdicts.TicketEntry) -> None:
        """Records a verdict in the journal, except those replayed at start."""
        if not self._follower.ready:
            return
        what = "came into force" if entry.accepted else "was refused"
        sentence = f"{what} on {self._seat}"
        if entry.detail:
            sentence += f": {entry.detail}"
        self._journal.record(
            reasons.Subject.TICKET,
            str(entry.number),
            entry.verdict,
            sentence,
            entry.offset,
        )

    def _own_view(self) -> ticket_pages.OwnView:
        offset, digest = self._follower.position()
        return ticket_pages.OwnView(
            self._seat, offset, digest, self._follower.age_ms()
        )

    def _parse(
        self, body: bytes
    ) -> result.Result[tickets.Ticket, http.HttpReply]:
        try:
            value = msgspec.json.decode(body)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            self._count_refusal(reasons.RefusalReason.BAD_TICKET)
            return result.Err(
                http.error_reply(
                    400,
                    reasons.RefusalReason.BAD_TICKET,
                    f"the body is not JSON: {error}",
                )
            )
        checked = tickets.check(value)
        if checked.is_ok():
            return result.Ok(checked.ok())
        self._count_refusal(reasons.RefusalReason.BAD_TICKET)
        page = ticket_pages.problem_page(checked.err())
        headers = {"X-Reason": str(reasons.RefusalReason.BAD_TICKET)}
        return result.Err(http.json_reply(400, page, headers))

    def _append_ticket(
        self, ticket: tickets.Ticket, timeout_ms: int
    ) -> http.HttpReply:
        deadline_ms = self._clock.monotonic_ms() + timeout_ms
        refusal = self._readiness_refusal()
        if refusal is not None:
            return self._refuse(ticket, refusal)
        existing = self._fold.ticket(ticket.number)
        if existing is not None:
            return self._reply(ticket, existing)
        entry = self._fold.evaluate(-1, ticket)
        if not entry.accepted and not _names_unread_version(entry):
            return self._refuse_stale(ticket, entry)
        record = tickets.TicketRecord(tickets.to_json(ticket))
        match self._appender.append([record], timeout_ms):
            case result.Ok(appended):
                remaining_ms = deadline_ms - self._clock.monotonic_ms()
                return self._reply_when_folded(
                    ticket, appended.offset, remaining_ms
                )
            case result.Err(streams.NotAccepted(detail, retry_after_ms)):
                return self._refuse(
                    ticket,
                    _Refusal(
                        503,
                        reasons.RefusalReason.LOG_DOWN,
                        f"not accepted, nothing was written: {detail}",
                        retry_after_ms,
                    ),
                )
            case result.Err(streams.AppendUnknown(detail)):
                return self._reply_unknown(ticket, detail)

    def _readiness_refusal(self) -> _Refusal | None:
        if self._follower.ready:
            return None
        return _Refusal(
            503,
            reasons.RefusalReason.NO_CONFIGURATION,
            "not accepted, nothing was written: this host has not yet read the"
            " configuration stream to its end",
            NOT_READY_RETRY_MS,
        )

    def _reply_when_folded(
        self, ticket: tickets.Ticket, offset: int, remaining_ms: int
    ) -> http.HttpReply:
        """Answers once the fold has applied the ticket's record."""
        if not self._follower.wait_for(offset, max(0, remaining_ms)):
            return self._reply_unknown(
                ticket,
                f"the ticket is on the log at offset {offset}, but this host"
                f" has read only to {self._follower.offset()}",
            )
        entry = self._fold.ticket(ticket.number)
        if entry is None:
            return self._reply_unknown(
                ticket, "this host no longer keeps the ticket"
            )
        return self._reply(ticket, entry)

    def _reply(
        self, ticket: tickets.Ticket, entry: verdicts.TicketEntry
    ) -> http.HttpReply:
        """Answers with the verdict on the ticket that has the number."""
        if entry.content_hash != tickets.content_hash(ticket):
            return self._refuse(
                ticket,
                _Refusal(
                    409,
                    reasons.RefusalReason.TICKET_NUMBER_TAKEN,
                    f"number {ticket.number} belongs to another ticket, by"
                    f" {entry.author or 'an unknown author'} at offset"
                    f" {entry.offset}: use a new number",
                ),
            )
        if entry.accepted:
            page = ticket_pages.verdict_page(entry, str(entry.verdict))
            return http.json_reply(200, page)
        reason = _refusal_reason(entry)
        page = ticket_pages.verdict_page(entry, str(reason))
        self._count_refusal(reason)
        return http.json_reply(409, page, {"X-Reason": str(reason)})

    def _refuse_stale(
        self, ticket: tickets.Ticket, entry: verdicts.TicketEntry
    ) -> http.HttpReply:
        """Refuses a ticket that the fold would refuse, without an append."""
        reason = _refusal_reason(entry)
        self._count_refusal(reason)
        sentence = f"refused before it was appended: {entry.detail}"
        self._record_decision(ticket, reason, sentence, -1)
        page = ticket_pages.verdict_page(entry, str(reason))
        return http.json_reply(409, page, {"X-Reason": str(reason)})

    def _refuse(
        self, ticket: tickets.Ticket, refusal: _Refusal
    ) -> http.HttpReply:
        self._count_refusal(refusal.reason)
        self._record_decision(ticket, refusal.reason, refusal.detail, -1)
        return http.error_reply(
            refusal.status,
            refusal.reason,
            refusal.detail,
            refusal.retry_after_ms,
        )

    def _reply_unknown(
        self, ticket: tickets.Ticket, detail: str
    ) -> http.HttpReply:
        sentence = (
            f"unknown: {detail}; ask for ticket {ticket.number} later, or"
            " submit the same ticket again, which is safe"
        )
        self._record_decision(ticket, reasons.Outcome.UNKNOWN, sentence, -1)
        return http.error_reply(504, reasons.Outcome.UNKNOWN, sentence)

    def _count_refusal(self, reason: reasons.RefusalReason) -> None:
        self._metrics.count(metrics_module.Counter.REFUSALS, reason)

    def _record_decision(
        self, ticket: tickets.Ticket, reason: str, sentence: str, offset: int
    ) -> None:
        self._journal.record(
            reasons.Subject.TICKET,
            str(ticket.number),
            reason,
            sentence,
            offset,
        )

    def _timeout_ms(self, request: http.HttpRequest) -> int:
        text: Any = request.headers.get(TIMEOUT_HEADER, "")
        if text.isascii() and text.isdigit() and len(text) < 10:
            return min(max(int(text), 1), MAX_TIMEOUT_MS)
        return DEFAULT_TIMEOUT_MS


def _names_unread_version(entry: verdicts.TicketEntry) -> bool:
    """Whether the ticket names a version this host has not read yet."""
    return any(
        conflict.replaces > conflict.current for conflict in entry.conflicts
    )


def _refusal_reason(entry: verdicts.TicketEntry) -> reasons.RefusalReason:
    if entry.verdict is verdicts.Verdict.CONFLICT:
        return reasons.RefusalReason.TICKET_CONFLICT
    return reasons.RefusalReason.BAD_TICKET
