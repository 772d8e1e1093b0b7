"""Routing state that is shared by all requests of a process.

Terms of this package:

    try: One attempt to have one endpoint run a request. A retry or a hedge is
        a further try of the same request.
    hedge: A second try, sent to another endpoint while the first is still
        unanswered; the first answer is used.
    slot: Permission to run one request on an endpoint, whose number of
        concurrent requests is limited. Each try acquires a slot and holds it
        until the endpoint has ended the request.
    ejection: Exclusion of an endpoint that fails or answers far too slowly,
        until it has answered a probe fast enough.
    probe of an ejected endpoint: One request, which decides whether the
        endpoint is readmitted.
    slow start: Period after the admission of an endpoint in which its load
        rises to the usual level.
    leaving endpoint: An endpoint that shuts down or has been removed. It gets
        no new requests, and is probed with a connection that carries none.
"""

from __future__ import annotations
