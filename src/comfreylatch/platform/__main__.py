"""Entry point of the program on the users' platform."""

from __future__ import annotations

import sys

from comfreylatch.platform import host

if __name__ == "__main__":
    sys.exit(host.run())
