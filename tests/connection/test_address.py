"""Tests of addresses."""

from __future__ import annotations

import result
import testtools

from comfreylatch._connection import address


class ParseTest(testtools.TestCase):
    """Parsing of `IP:port`."""

    def test_ip_and_port(self) -> None:
        """An IP address and a port are split."""
        self.assertEqual(
            result.Ok(address.Address("127.0.0.1", 80)),
            address.parse("127.0.0.1:80"),
        )

    def test_name_is_refused(self) -> None:
        """Host names are not resolved."""
        self.assertTrue(address.parse("localhost:80").is_err())

    def test_port_out_of_range_is_refused(self) -> None:
        """A port has 16 bits."""
        self.assertTrue(address.parse("127.0.0.1:65536").is_err())

    # Guards against an error of int() that ends the thread of the reader.
    def test_port_of_thousands_of_digits_is_refused(self) -> None:
        """The text is compared before it is converted."""
        self.assertTrue(address.parse("127.0.0.1:" + "9" * 5_000).is_err())
