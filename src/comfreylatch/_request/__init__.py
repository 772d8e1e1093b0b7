"""Handling of single requests: admission, dispatch, retries, outcomes.

Terms of this package, besides those of `comfreylatch._process.routing`:

    seat: A configured position of an entry host in a zone. A host process that
        replaces another takes over its seat.
    claim: The exclusive right to dispatch a request id, for requests that must
        not run twice.
    mark: Record that a request id has been claimed.
    holder: A seat that stores the marks of a request id.
    spill: To forward a request to a host of another zone because this zone has
        no free slot for it.
    outcome: What is known about a request at its end. It is answered, not run
        by any endpoint, or unknown: it may have run, but there is no answer.
"""

from __future__ import annotations
