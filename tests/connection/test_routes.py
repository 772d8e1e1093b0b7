"""Tests of the operator server's routes."""

from __future__ import annotations

import testtools

from comfreylatch._connection import http
from comfreylatch._connection import routes


def _named(name: str) -> http.Handler:
    return lambda _: http.HttpReply(200, name.encode())


class RoutesTest(testtools.TestCase):
    """Which handler takes which request."""

    def setUp(self) -> None:
        super().setUp()
        self.table = routes.Routes(
            [
                routes.Route("GET", "/jobs", _named("list")),
                routes.Route("POST", "/jobs", _named("submit")),
                routes.Route("GET", "/jobs/*", _named("show")),
                routes.Route("GET", "/explain/*/**", _named("explain")),
            ]
        )

    def ask(self, method: str, path: str) -> http.HttpReply:
        return self.table.handle(http.HttpRequest(method, path, {}, {}, b""))

    def test_segment_fits_any_one_name(self) -> None:
        self.assertEqual(b"show", self.ask("GET", "/jobs/j-1").body)
        self.assertEqual(404, self.ask("GET", "/jobs/j/1").status)

    def test_rest_fits_names_with_slashes(self) -> None:
        self.assertEqual(b"explain", self.ask("GET", "/explain/a/b/c").body)
        self.assertEqual(404, self.ask("GET", "/explain/a").status)

    def test_method_chooses_the_handler(self) -> None:
        self.assertEqual(b"submit", self.ask("POST", "/jobs/").body)
        self.assertEqual(b"list", self.ask("HEAD", "/jobs").body)

    def test_other_method_is_told_the_right_ones(self) -> None:
        reply = self.ask("DELETE", "/jobs")
        self.assertEqual(405, reply.status)
        self.assertEqual("GET, POST", reply.headers["Allow"])

    def test_unknown_page_is_told_the_known_ones(self) -> None:
        reply = self.ask("GET", "/job")
        self.assertEqual(404, reply.status)
        self.assertIn(b"/jobs/*", reply.body)
