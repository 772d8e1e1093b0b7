"""Parses addresses of the form `IP:port` in settings and configuration."""

from __future__ import annotations

import ipaddress

import attrs
import result

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SHOWN_DIGITS = 12


@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


@attrs.frozen
class BadAddress:
    """The text is not `IP:port`."""

    detail: str


def parse(text: str) -> result.Result[Address, BadAddress]:
    """Parses `IP:port`; host names are refused, as no name is resolved."""
    ip_text, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        return result.Err(BadAddress(f"{text!r} is not of the form IP:port"))
    # The length first: int() refuses texts of thousands of digits.
    if len(port_text) > MAX_PORT_DIGITS or int(port_text) > MAX_PORT:
        shown = port_text[:MAX_SHOWN_DIGITS]
        return result.Err(BadAddress(f"port {shown} is above {MAX_PORT}"))
    try:
        ip = ipaddress.ip_address(ip_text.strip("[]"))
    except ValueError:
        return result.Err(BadAddress(f"{ip_text!r} is not an IP address"))
    return result.Ok(Address(str(ip), int(port_text)))
