"""A relay of cheroot in and urllib3 out that decides nothing.

The floor against which `testing.bench` holds the path of an entry host:
each request goes to the next of the targets, and its answer back.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import itertools
import threading
from typing import Any

from cheroot import wsgi
import urllib3

from testing.standins import serving

DEFAULT_THREADS = 96
TARGET_TIMEOUT_S = 5.0
KEPT_CONNECTIONS = 2_048
PASSED_HEADERS = ("X-Request-Id", "X-Work-Ms", "X-Idempotent")


class BareRelay:
    """A WSGI application that passes requests on."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = targets
        self._turn = itertools.count()
        self._pool = urllib3.PoolManager(maxsize=DEFAULT_THREADS, retries=False)

    def __call__(
        self, environment: dict[str, Any], start: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Passes one request on, as WSGI asks."""
        length = int(environment.get("CONTENT_LENGTH") or 0)
        body = environment["wsgi.input"].read(length) if length else None
        headers = {}
        for name in PASSED_HEADERS:
            value = environment.get("HTTP_" + name.upper().replace("-", "_"))
            if value is not None:
                headers[name] = value
        target = self._targets[next(self._turn) % len(self._targets)]
        answer = self._pool.request(
            environment["REQUEST_METHOD"],
            f"http://{target}{environment['PATH_INFO']}",
            body=body,
            headers=headers,
            timeout=TARGET_TIMEOUT_S,
        )
        start(
            f"{answer.status} {answer.reason}",
            [
                ("Content-Type", answer.headers.get("Content-Type", "")),
                ("Content-Length", str(len(answer.data))),
                ("X-Request-Id", answer.headers.get("X-Request-Id", "")),
            ],
        )
        return [answer.data]


def main() -> None:
    """Runs the relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("targets", nargs="+", metavar="IP:PORT")
    parser.add_argument("--threads", type=int, default=DEFAULT_THREADS)
    given = parser.parse_args()
    server = wsgi.Server(
        (serving.LOOPBACK, 0),
        BareRelay(given.targets),
        numthreads=given.threads,
        max=given.threads,
    )
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    serving.announce(address=f"{serving.LOOPBACK}:{server.bind_addr[1]}")
    serving.wait_for_stop()


if __name__ == "__main__":
    main()
