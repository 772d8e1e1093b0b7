"""Tests of routing requests to handlers."""

from __future__ import annotations

import testtools

from comfreylatch._connection import http
from comfreylatch._connection import routes


def _handler_named(name: str) -> http.Handler:
    return lambda _: http.HttpReply(200, name.encode())


class RoutesTest(testtools.TestCase):
    """Selecting the handler of a request."""

    def setUp(self) -> None:
        super().setUp()
        self.table = routes.Routes(
            [
                routes.Route("GET", "/jobs", _handler_named("list")),
                routes.Route("POST", "/jobs", _handler_named("submit")),
                routes.Route("GET", "/jobs/*", _handler_named("show")),
                routes.Route("GET", "/explain/*/**", _handler_named("explain")),
            ]
        )

    def request(self, method: str, path: str) -> http.HttpReply:
        return self.table.handle(http.HttpRequest(method, path, {}, {}, b""))

    def test_star_matches_one_segment(self) -> None:
        self.assertEqual(b"show", self.request("GET", "/jobs/j-1").body)
        self.assertEqual(404, self.request("GET", "/jobs/j/1").status)

    def test_double_star_matches_segments_with_slashes(self) -> None:
        self.assertEqual(b"explain", self.request("GET", "/explain/a/b/c").body)
        self.assertEqual(404, self.request("GET", "/explain/a").status)

    def test_method_selects_the_handler(self) -> None:
        self.assertEqual(b"submit", self.request("POST", "/jobs/").body)
        self.assertEqual(b"list", self.request("HEAD", "/jobs").body)

    def test_other_method_gets_the_allowed_methods(self) -> None:
        reply = self.request("DELETE", "/jobs")
        self.assertEqual(405, reply.status)
        self.assertEqual("GET, POST", reply.headers["Allow"])

    def test_unknown_page_gets_the_known_pages(self) -> None:
        reply = self.request("GET", "/job")
        self.assertEqual(404, reply.status)
        self.assertIn(b"/jobs/*", reply.body)
