"""Tests of the calls to the advice service and of the tickets it returns."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import Any
import unittest.mock

import attrs
import result
import testtools

from comfreylatch._ports import advice as advice_port
from comfreylatch._ports import cell_workers
from comfreylatch._process import metrics
from comfreylatch._process.cell import advice
from comfreylatch._process.cell import events
from comfreylatch._process.cell import interference
from comfreylatch._process.cell import runs as runs_module
from comfreylatch._process.cell import specs
from tests.process.cell import harness

VALID_MS = 3_000
# Longer than the pause before a failed task is started again.
RESTART_DELAY_MS = 200
QUEUE_WITH_ADVICE = attrs.evolve(
    harness.QUEUE, advice=specs.AdviceSpec(50.0, 5.0, VALID_MS)
)


class AdviceCase(testtools.TestCase):
    """A cell with a planner of calls to the advice service."""

    def create_cell(self, workers: int) -> None:
        """Creates the cell and its planner."""
        self.cell = harness.Cell(workers)
        self.planner = advice.AdvicePlanner(
            metrics.Metrics(), self.cell.planner.count_startable
        )

    def submit(self, step: specs.StepSpec, job_id: str = "0" * 16) -> Any:
        """Submits a job of one step to a queue with a policy."""
        job = attrs.evolve(
            harness.job(step, job_id=job_id), queue=QUEUE_WITH_ADVICE
        )
        return self.cell.submit(job)

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


class AdviceTest(AdviceCase):
    """A step whose queue requires advice on workers, and three workers."""

    def setUp(self) -> None:
        super().setUp()
        self.create_cell(workers=3)
        self.job = self.submit(harness.step(2))
        (self.step,) = self.job.steps[0]

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


class StartableWorkersTest(AdviceCase):
    """Steps that can't use some of the workers that their policy allows."""

    def answer_all(self) -> set[str]:
        """Has the service allow every worker named; returns their ids."""
        named: set[str] = set()
        for request in self.plan_requests():
            named.update(request.workers)
            self.answer(request, *request.workers)
        return named

    @contextlib.contextmanager
    def only_worker(self, worker_id: str) -> Iterator[None]:
        """Has all other workers accept no work meanwhile."""
        others = [
            view for view in self.cell.workers if view.worker_id != worker_id
        ]
        for view in others:
            view.may_get_starts = False
        yield
        for view in others:
            view.may_get_starts = True

    def fail(self, run: Any) -> None:
        """Has a worker report that a run has failed."""
        end = harness.ended_run(run, cell_workers.RunEnd.FAILED)
        self.cell.answer_hold(run.worker_id, ended=(end,))

    # Guards against a task that is never started again, as advice is requested
    # only for workers that have as many tasks of its step as are allowed.
    def test_failed_task_restarts_beside_tasks_at_the_limit_per_worker(
        self,
    ) -> None:
        self.create_cell(workers=8)
        self.submit(harness.step(6, is_lasting=True, max_per_worker=1))
        self.answer_all()
        runs = self.cell.place()
        self.assertEqual(6, len({run.worker_id for run in runs}))
        self.cell.clock.advance(VALID_MS)
        # Lets the worker sort last among those that were allowed.
        failed = max(runs, key=lambda run: run.worker_id)
        self.fail(failed)
        self.answer_all()
        self.cell.clock.advance(RESTART_DELAY_MS)
        restarted = [run.task.name for run in self.cell.place()]
        self.assertEqual([failed.task.name], restarted)

    # Guards against filling tasks that wait for ever with tickets for workers
    # where they would slow lasting tasks down, while other workers are free.
    def test_filling_step_requests_advice_where_interference_permits(
        self,
    ) -> None:
        self.create_cell(workers=2)
        serving = harness.step(is_lasting=True, tail_target_ms=18)
        self.cell.submit(harness.job(serving, job_id="a" * 16))
        (run,) = self.cell.place()
        (other_id,) = {"w1", "w2"} - {run.worker_id}
        self.submit(harness.step(fills_idle=True), job_id="b" * 16)
        model = interference.InterferenceModel
        with (
            unittest.mock.patch.object(
                model,
                "slacks",
                autospec=True,
                side_effect=lambda _, worker: tuple(worker.runs),
            ),
            unittest.mock.patch.object(model, "headroom", return_value=-1.0),
        ):
            with self.only_worker(run.worker_id):
                self.answer_all()
            self.answer_all()
            (placed,) = self.cell.place()
        self.assertEqual(other_id, placed.worker_id)

    # Guards against a filling step that gets no advice while it has a ticket
    # for a worker whose processors are all in use.
    def test_ticket_for_a_busy_worker_is_not_enough_for_a_filling_step(
        self,
    ) -> None:
        self.create_cell(workers=2)
        self.submit(harness.step(fills_idle=True))
        with self.only_worker("w1"):
            self.answer_all()
        self.cell.workers.find("w1").free_cpu = 0
        self.assertEqual({"w2"}, self.answer_all())

    # Guards against a lasting step that gets no advice while it has a ticket
    # for a worker that is closed to lasting tasks.
    def test_ticket_for_a_cleared_worker_is_not_enough_for_a_lasting_step(
        self,
    ) -> None:
        self.create_cell(workers=2)
        self.submit(harness.step(is_lasting=True))
        with self.only_worker("w1"):
            self.answer_all()
        now_ms = self.cell.clock.monotonic_ms()
        self.cell.workers.find("w1").cleared_until_ms = now_ms + VALID_MS
        self.assertEqual({"w2"}, self.answer_all())

    # Guards against a step that waits while a worker is free, as each call
    # names the same workers, all of them full.
    def test_free_worker_is_named_before_full_ones(self) -> None:
        full = advice.MAX_WORKERS_PER_CALL
        self.create_cell(workers=full + 1)
        self.submit(harness.step(2 * full))
        for _ in range(3):
            self.answer_all()
        self.cell.clock.advance(VALID_MS)
        views = list(self.cell.workers)
        for view in views:
            view.free_cpu = 0
        self.assertEqual(full, len(self.answer_all()))
        self.cell.clock.advance(VALID_MS)
        views[-1].free_cpu = 8_000
        self.assertIn(views[-1].worker_id, self.answer_all())
