"""Tests of the client commands against a fake host."""

from __future__ import annotations

import http.server
import json
import pathlib
import socket
import tempfile
import threading
from typing import Any

import testtools
from typer import testing

from comfreylatch._commands import main
from comfreylatch._commands import ticket_file

TICKET = """{
  "number": 7, "author": "mona", "reason": "longer", // a note
  "changes": [{"kind": "service", "name": "skyproc", "replaces": 3,
               "state": {"timeout_ms": 900}}]}"""

PLACEMENT = {"queue_host": "a", "queue_path": "/q/", "job": {"JobSteps": []}}


class FakeHost:
    """Answers every call with the same status and value, or not at all.

    Args:
        status: 0 closes the connection without an answer.
        value: Body of the answer, sent as JSON.
    """

    def __init__(self, status: int, value: Any = None) -> None:
        self.calls: list[str] = []
        host = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def answer(self) -> None:
                host.calls.append(f"{self.command} {self.path}")
                if status == 0:
                    return
                body = json.dumps(value).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_DELETE = answer  # noqa: N815

            def log_message(self, *arguments: Any) -> None:
                pass

        self._server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(target=self._server.serve_forever)
        self._thread.start()

    def close(self) -> None:
        """Stops answering."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


class CommandsTest(testtools.TestCase):
    """Exit codes, output and the hosts that are called."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ticket = str(self.folder / "ticket.json")
        pathlib.Path(self.ticket).write_text(TICKET, encoding="utf-8")

    def host(self, status: int, value: Any = None) -> FakeHost:
        host = FakeHost(status, value)
        self.addCleanup(host.close)
        return host

    def run_command(self, *arguments: str, hosts: Any = ()) -> Any:
        options = [part for host in hosts for part in ("--host", host)]
        return testing.CliRunner().invoke(main.app, [*arguments, *options])

    def closed_address(self) -> str:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            return f"127.0.0.1:{free.getsockname()[1]}"

    def test_every_command_has_help(self) -> None:
        for words in (["ticket", "new"], ["job", "submit"], ["explain"]):
            help_page = self.run_command(*words, "--help")
            self.assertEqual(0, help_page.exit_code)
            self.assertIn("Exit codes", self.run_command("--help").output)

    def test_unanswered_ticket_is_unknown_and_not_resent(self) -> None:
        unresponsive, other = self.host(0), self.host(200, {})
        hosts = [unresponsive.address, other.address]
        outcome = self.run_command("ticket", "submit", self.ticket, hosts=hosts)
        self.assertEqual(3, outcome.exit_code)
        self.assertIn("ticket show 7", outcome.output)
        self.assertEqual([], other.calls)

    def test_ticket_is_sent_to_next_host_after_unreachable_one(
        self,
    ) -> None:
        other = self.host(200, {"verdict": "accepted"})
        hosts = [self.closed_address(), other.address]
        outcome = self.run_command("ticket", "submit", self.ticket, hosts=hosts)
        self.assertEqual(0, outcome.exit_code)
        self.assertEqual(["POST /tickets"], other.calls)

    def test_ticket_is_sent_to_next_host_after_status_503(self) -> None:
        down = self.host(503, {"reason": "log-down"})
        other = self.host(200, {})
        hosts = [down.address, other.address]
        outcome = self.run_command("ticket", "submit", self.ticket, hosts=hosts)
        self.assertEqual(0, outcome.exit_code)

    def test_refused_ticket_exits_1_with_the_answer(self) -> None:
        host = self.host(409, {"reason": "ticket-conflict"})
        outcome = self.run_command(
            "ticket", "submit", self.ticket, hosts=[host.address]
        )
        self.assertEqual(1, outcome.exit_code)
        self.assertIn("ticket-conflict", outcome.output)

    def ask_placement(self, content: Any, host: FakeHost) -> Any:
        """Runs `explain placement` on a file with this content."""
        path = self.folder / "placement.json"
        path.write_text(json.dumps(content), encoding="utf-8")
        return self.run_command(
            "explain", "placement", str(path), hosts=[host.address]
        )

    def test_placement_is_explained_in_lines(self) -> None:
        step = {
            "step": 0,
            "tasks": 2,
            "decision": "starts now",
            "worker": "w1",
            "steps_ahead": 3,
            "timeliness": "on_time",
            "expected_wait_ms": None,
            "wanted_rack": "",
            "candidates": [],
            "ruled_out": {"draining": 4},
        }
        page = {
            "queue": "q",
            "oldest_report_ms": 40,
            "steps": [step],
            "later_steps": [1],
        }
        host = self.host(200, page)
        outcome = self.ask_placement(PLACEMENT, host)
        self.assertEqual(0, outcome.exit_code)
        self.assertEqual(["POST /explain/placement"], host.calls)
        self.assertIn("starts now on w1", outcome.output)
        self.assertIn("4 workers ruled out: draining", outcome.output)

    def test_faulty_placement_file_names_the_fields_and_asks_nobody(
        self,
    ) -> None:
        host = self.host(200, {})
        outcome = self.ask_placement({"queue_host": 7, "job": []}, host)
        self.assertEqual(2, outcome.exit_code)
        for field in ("queue_host", "queue_path", "job"):
            self.assertIn(field, outcome.output)
        self.assertEqual([], host.calls)

    def test_placement_asked_of_another_host_than_the_owner_exits_1(
        self,
    ) -> None:
        host = self.host(409, {"reason": "not-explained", "detail": "x-3"})
        outcome = self.ask_placement(PLACEMENT, host)
        self.assertEqual(1, outcome.exit_code)
        self.assertIn("not-explained", outcome.output)

    def test_read_is_retried_on_next_host_after_lost_answer(self) -> None:
        unresponsive, other = self.host(0), self.host(200, {"state": "running"})
        hosts = [unresponsive.address, other.address]
        outcome = self.run_command("job", "show", "a/b", hosts=hosts)
        self.assertEqual(0, outcome.exit_code)
        self.assertEqual(["GET /jobs/a%2Fb"], other.calls)

    def test_invalid_ticket_is_not_sent(self) -> None:
        invalid = TICKET.replace("timeout_ms", "timeout").replace("7", "0")
        pathlib.Path(self.ticket).write_text(invalid, encoding="utf-8")
        host = self.host(200, {})
        outcome = self.run_command(
            "ticket", "submit", self.ticket, hosts=[host.address]
        )
        self.assertEqual((2, []), (outcome.exit_code, host.calls))
        self.assertIn(
            "2:13: number: expected a whole number from 1", outcome.output
        )
        self.assertIn("did you mean 'timeout_ms'?", outcome.output)

    def test_ticket_check_handles_members_of_any_type(self) -> None:
        for member in ("number", "author", "changes", "kind", "name", "state"):
            for value in (None, [], {}, [{}], [[]], "x", -1, True):
                ticket = json.loads(TICKET.replace("// a note", ""))
                where = ticket if member in ticket else ticket["changes"][0]
                where[member] = value
                self.assertIsInstance(ticket_file.check(ticket), list)

    def test_diff_shows_changes_and_refuses_old_versions(self) -> None:
        state = {"timeout_ms": 500, "target_p99_ms": 200}
        skyproc = {"kind": "service", "name": "skyproc", "state": state}
        for version, code in ((3, 0), (4, 1)):
            value = {"objects": [{**skyproc, "version": version}]}
            outcome = self.run_command(
                *("ticket", "diff", self.ticket, "--json"),
                hosts=[self.host(200, value).address],
            )
            self.assertEqual(code, outcome.exit_code)
            self.assertIn('"now": 500', outcome.output)

    def test_new_ticket_passes_its_own_check(self) -> None:
        written = str(self.folder / "new.json")
        names = ("service/a", "endpoint/b", "team/c", "worker-class/d")
        rest = ("zone/e", "limits/fleet", "--output", written)
        authorship = ("--author", "mona", "--reason", "first")
        created = self.run_command("ticket", "new", *names, *rest, *authorship)
        self.assertEqual(0, created.exit_code)
        checked = self.run_command("ticket", "check", written)
        self.assertEqual((0, ""), (checked.exit_code, checked.stderr))

    def test_check_settings_exits_2_without_traceback(self) -> None:
        outcome = self.run_command("check-settings", self.ticket)
        self.assertEqual(2, outcome.exit_code)
        self.assertNotIn("Traceback", outcome.output)

    def test_status_of_several_hosts_is_one_json_value(self) -> None:
        host = self.host(200, {"host": {"seat": "bole-1"}})
        closed = self.closed_address()
        outcome = self.run_command(
            "status", "--json", hosts=[host.address, closed]
        )
        self.assertEqual(1, outcome.exit_code)
        pages = json.loads(outcome.stdout)
        self.assertEqual("bole-1", pages[host.address]["host"]["seat"])
        self.assertEqual("not reached", pages[closed]["error"])

    def test_explanation_of_unknown_subject_exits_1(self) -> None:
        page = {"decisions": [], "summary": "job j is unknown."}
        host = self.host(200, page)
        outcome = self.run_command("explain", "job", "j", hosts=[host.address])
        self.assertEqual(1, outcome.exit_code)
        self.assertIn("job j is unknown.", outcome.output)
