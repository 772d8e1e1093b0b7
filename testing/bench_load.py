"""Closed-loop load generator process for `testing.bench`, of fixed duration."""

from __future__ import annotations

import argparse
import json
import threading
import time

from hdrh import histogram
import urllib3

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


class Callers:
    """Concurrent callers; each sends a request after the previous answer."""

    def __init__(self, address: str, path: str, method: str, run: str) -> None:
        ip, _, port = address.rpartition(":")
        self._address = (ip, int(port))
        self._path = path
        self._method = method
        self._run = run
        self._lock = threading.Lock()
        self.failed = 0
        self.sent = 0
        self.latency = histogram.HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def run(self, callers: int, warm_s: float, measured_s: float) -> None:
        """Runs all callers; counts only requests sent after the warm-up."""
        start_s = time.monotonic() + warm_s
        threads = [
            threading.Thread(
                target=self._call, args=(number, start_s, start_s + measured_s)
            )
            for number in range(callers)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _call(self, caller: int, start_s: float, end_s: float) -> None:
        pool = urllib3.HTTPConnectionPool(*self._address, retries=False)
        number = 0
        while (sent_s := time.monotonic()) < end_s:
            number += 1
            name = f"{self._run}-{caller}-{number}"
            idempotent = "true" if self._method == "GET" else "false"
            headers = {"X-Request-Id": name, "X-Idempotent": idempotent}
            answer = pool.request(self._method, self._path, headers=headers)
            elapsed_us = int((time.monotonic() - sent_s) * 1_000_000)
            is_matching = answer.headers.get("X-Request-Id") == name
            with self._lock:
                self.sent += 1
                if sent_s < start_s:
                    continue
                if answer.status == 200 and is_matching:
                    self.latency.record_value(elapsed_us)
                else:
                    self.failed += 1
        pool.close()


def main() -> None:
    """Prints one JSON line with answers, failures and latencies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--path", default="/")
    parser.add_argument("--method", default="GET")
    parser.add_argument("--run", required=True)
    parser.add_argument("--callers", type=int, default=1)
    parser.add_argument("--warm-s", type=float, default=1.0)
    parser.add_argument("--measured-s", type=float, default=4.0)
    args = parser.parse_args()
    callers = Callers(args.address, args.path, args.method, args.run)
    callers.run(args.callers, args.warm_s, args.measured_s)
    line = {
        "answered": callers.latency.get_total_count(),
        "failed": callers.failed,
        "sent": callers.sent,
        "encoded": callers.latency.encode().decode("ascii"),
    }
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
