"""Tests of the calls to the advice service and of the tickets it returns."""

from __future__ import annotations

from typing import Any

import attrs
import result
import testtools

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._process import metrics
from comfreylatch._process.cell import advice
from comfreylatch._process.cell import events
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from tests.process.cell import harness

VALID_MS = 3_000
QUEUE_WITH_ADVICE = attrs.evolve(
    harness.QUEUE, advice=specs.AdviceSpec(50.0, 5.0, VALID_MS)
)


class AdviceTest(testtools.TestCase):
    """A step whose queue requires advice on workers, and three workers."""

    def setUp(self) -> None:
        super().setUp()
        self.cell = harness.Cell(workers=3)
        self.planner = advice.AdvicePlanner(metrics.Metrics())
        job = attrs.evolve(
            harness.job(harness.step(2)), queue=QUEUE_WITH_ADVICE
        )
        self.job = self.cell.submit(job)
        (self.step,) = self.job.steps[0]

    def plan_requests(self) -> list[Any]:
        """Returns the calls to the advice service that are due now."""
        return self.planner.plan_requests(
            self.cell.jobs.ready_steps(),
            self.cell.workers,
            self.cell.clock.monotonic_ms(),
        )

    def answer(self, request: Any, *allowed: str) -> None:
        """Has the service answer with tickets for the allowed workers."""
        tickets = {worker_id: f"ticket-{worker_id}" for worker_id in allowed}
        self.handle_advice_returned(
            request, result.Ok(advice_port.Advice(tickets, VALID_MS))
        )

    def handle_advice_returned(self, request: Any, outcome: Any) -> None:
        """Applies the outcome of a call to the advice service."""
        now_ms = self.cell.clock.monotonic_ms()
        self.planner.handle_advice_returned(
            events.AdviceReturned(
                request.step, request.workers, now_ms, now_ms, outcome
            ),
            now_ms,
        )

    def test_nothing_starts_before_advice(self) -> None:
        self.plan_requests()
        self.assertEqual([], self.cell.place())

    def test_step_starts_only_where_it_is_allowed(self) -> None:
        (request,) = self.plan_requests()
        self.assertEqual({"w1", "w2", "w3"}, set(request.workers))
        self.answer(request, "w2")
        placed = self.cell.place()
        self.assertEqual(["w2", "w2"], [run.worker_id for run in placed])

    def test_no_second_call_while_one_is_pending(self) -> None:
        self.plan_requests()
        self.assertEqual([], self.plan_requests())

    def test_no_call_while_tickets_suffice(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, "w2")
        self.assertEqual([], self.plan_requests())

    def test_expired_ticket_is_renewed_for_allowed_workers_only(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, "w2")
        self.cell.clock.advance(VALID_MS)
        (renewal,) = self.plan_requests()
        self.assertEqual({"w2"}, set(renewal.workers))
        self.assertEqual([], self.cell.place())

    def test_new_incarnation_of_a_worker_needs_a_new_ticket(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, "w2")
        entries = {
            view.worker_id: attrs.evolve(view.entry, born_ms=2)
            for view in self.cell.workers
        }
        self.cell.workers.apply_listing(entries)
        self.plan_requests()
        self.assertEqual({}, self.step.tickets)

    def test_unanswered_call_is_repeated_after_a_pause(self) -> None:
        (request,) = self.plan_requests()
        self.handle_advice_returned(
            request, result.Err(advice_port.AdviceUnavailable("429"))
        )
        self.assertEqual([], self.plan_requests())
        self.cell.clock.advance(advice.RETRY_PAUSE_MS)
        self.assertEqual(1, len(self.plan_requests()))

    def test_refused_ticket_is_not_used_again(self) -> None:
        (request,) = self.plan_requests()
        self.answer(request, "w2")
        now_ms = self.cell.clock.monotonic_ms()
        placed = self.cell.planner.place(self.cell.jobs.ready_steps(), now_ms)
        refused = cell_workers.OrderRefused(cell_workers.Refusal.NO_TICKET)
        self.cell.dispatcher.handle_start(
            events.StartReturned(placed[0].run, now_ms, 1, result.Err(refused))
        )
        self.assertNotIn("w2", self.step.tickets)
        self.assertEqual(1, len(self.step.pending_tasks))

    def test_advice_is_requested_before_next_step_is_ready(self) -> None:
        job = attrs.evolve(
            harness.job(
                harness.step(), harness.step(depends_on=(0,)), job_id="b" * 16
            ),
            queue=QUEUE_WITH_ADVICE,
        )
        first, second = self.cell.submit(job).steps[0]
        self.assertEqual([], self.cell.jobs.nearly_ready_steps())
        first.tickets = dict.fromkeys(
            ("w1", "w2"),
            self.ticket(),
        )
        (run,) = self.cell.place()
        self.cell.answer_hold(
            run.worker_id, running=(harness.running_task(run, percent=60.0),)
        )
        self.assertEqual([second], self.cell.jobs.nearly_ready_steps())

    def ticket(self) -> Any:
        """Returns a valid ticket."""
        return runs_module.Ticket("t", 1, 10**9)

    def test_ended_step_gets_no_tickets(self) -> None:
        (request,) = self.plan_requests()
        self.cell.jobs.cancel(self.job.spec.job_id)
        other_job = attrs.evolve(
            harness.job(job_id="c" * 16), queue=QUEUE_WITH_ADVICE
        )
        self.cell.submit(other_job)
        self.plan_requests()
        self.answer(request, "w1")
        self.assertEqual({}, self.step.tickets)
