"""Test that hosts of two versions agree on the digest of a configuration."""

from __future__ import annotations

import msgspec
import testtools

from comfreylatch._version import configuration_fold
from comfreylatch._version import records
from comfreylatch._version import tickets
from testing.fakes import tickets as samples

ENVELOPE = records.Envelope("writer", 1, "ticket", msgspec.Raw(b"{}"))
REFUSED_TICKETS = (
    samples.ticket(3, samples.service("s")),
    samples.ticket(4, samples.service("none", 3)),
    samples.ticket(5, samples.zone("gone", 1)),
    samples.ticket(6, samples.change("zone", "z", 1, None)),
    samples.ticket(7, samples.endpoint("e2", "none", "nowhere")),
    samples.ticket(8, samples.change("zone", "z2", 0, {"seats": ["z-1"]})),
    samples.ticket(10, samples.change("zone", "n", 0, None)),
    {**samples.ticket(11, samples.zone("a")), "author": "", "reason": 5},
    samples.ticket(12, samples.change("servise", "a", -1, {})),
    samples.ticket(13, samples.service("a", weight=0)),
    samples.ticket(14, samples.change("zone", "a", 0, {"seats": ["a", "a"]})),
    samples.ticket(15, samples.change("endpoint", "b", 0, {"service": 1})),
    samples.ticket(16, samples.change("zone", "a\n", 0, {})),
    {"number": 17, "changes": 5},
)
# Changes only with a new protocol version.
DIGEST = "a83d18f4ecd5c49d"


class DigestStabilityTest(testtools.TestCase):
    """A history with accepted and refused tickets."""

    def test_texts_of_refused_tickets_keep_the_digest(self) -> None:
        # Guards against hosts that take each other for diverged during an
        # upgrade: the detail of a refused ticket is hashed into the digest, so
        # one reworded text changes it.
        fold = configuration_fold.ConfigurationFold()
        accepted = (
            samples.ticket(
                1,
                samples.service("s"),
                samples.zone("z"),
                samples.zone("gone"),
                samples.endpoint("e", "s", "z"),
            ),
            samples.ticket(2, samples.change("zone", "gone", 1, None)),
        )
        for offset, value in enumerate((*accepted, *REFUSED_TICKETS)):
            fold.apply(offset, ENVELOPE, tickets.TicketRecord(value))
        self.assertEqual(DIGEST, fold.digest())
