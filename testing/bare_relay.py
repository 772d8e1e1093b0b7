"""A minimal HTTP relay of a cheroot server and a urllib3 client.

It is the baseline for the request path of an entry host in `testing.bench`: it
forwards each request to the next target in turn and returns the answer.
"""

from __future__ import annotations

import argparse
import itertools
import threading

from cheroot import server
import urllib3

from testing.standins import serving

DEFAULT_THREADS = 96
TARGET_TIMEOUT_S = 5.0
KEPT_CONNECTIONS = 2_048
PASSED_HEADERS = ("X-Request-Id", "X-Work-Ms", "X-Idempotent")


class Targets:
    """Connection pools of the targets, used round-robin."""

    def __init__(self, addresses: list[str]) -> None:
        self._turn = itertools.count()
        self._pools = []
        for address in addresses:
            ip, _, port = address.rpartition(":")
            self._pools.append(
                urllib3.HTTPConnectionPool(
                    ip, int(port), maxsize=DEFAULT_THREADS, retries=False
                )
            )

    def next(self) -> urllib3.HTTPConnectionPool:
        """Returns the pool of the next target."""
        return self._pools[next(self._turn) % len(self._pools)]


class RelayServer(server.HTTPServer):
    """The server, with the targets of its gateways."""

    targets: Targets


class RelayGateway(server.Gateway):
    """Forwards one request."""

    def respond(self) -> None:
        """Forwards the request to a target and returns its answer."""
        request = self.req
        length = int(request.inheaders.get(b"Content-Length", b"0"))
        body = request.rfile.read(length) if length else None
        headers = {
            name: request.inheaders[name.encode()].decode("latin-1")
            for name in PASSED_HEADERS
            if name.encode() in request.inheaders
        }
        answer = request.server.targets.next().urlopen(
            request.method.decode(),
            request.uri.decode(),
            body=body,
            headers=headers,
            timeout=TARGET_TIMEOUT_S,
        )
        request.status = f"{answer.status} {answer.reason}".encode()
        request.outheaders = [
            (b"Content-Length", str(len(answer.data)).encode()),
            (b"X-Request-Id", answer.headers["X-Request-Id"].encode()),
        ]
        request.ensure_headers_sent()
        request.write(answer.data)


def main() -> None:
    """Runs the relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("targets", nargs="+", metavar="IP:PORT")
    parser.add_argument("--threads", type=int, default=DEFAULT_THREADS)
    args = parser.parse_args()
    relay = RelayServer(
        (serving.LOOPBACK, 0),
        RelayGateway,
        minthreads=args.threads,
        maxthreads=args.threads,
    )
    relay.targets = Targets(args.targets)
    relay.keep_alive_conn_limit = KEPT_CONNECTIONS
    relay.prepare()
    threading.Thread(target=relay.serve, daemon=True).start()
    serving.announce(address=f"{serving.LOOPBACK}:{relay.bind_addr[1]}")
    serving.wait_for_stop()


if __name__ == "__main__":
    main()
