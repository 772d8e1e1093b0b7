"""Adapter that runs the program on the users' platform.

It only translates: the platform's names are used in no other package, and
decisions, state and recovery are in `comfreylatch._process.cell`. The platform
calls a worker an executor, a pool of workers a service and a queue a route.
"""

from __future__ import annotations
