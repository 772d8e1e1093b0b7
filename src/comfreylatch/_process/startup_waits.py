"""Times a starting host waits for a predecessor in its seat."""

from __future__ import annotations

from typing import final

from comfreylatch._ports import configuration as configuration_port
from comfreylatch._process import loans
from comfreylatch._process import settings as settings_module
from comfreylatch._process import shares
from comfreylatch._process import slot_account
from comfreylatch._version import configuration

# A request forwarded by a killed host may start as late as one maximum hold
# time after the kill, and then hold its slot for another.
MAX_REMAINING_HOLDS = 2


@final
class MaxSlotHoldTime:
    """The longest time a slot is held, computed once per configuration."""

    def __init__(self, source: configuration_port.ConfigurationSource) -> None:
        self._update(source.current())
        source.on_change(self._update)

    def current_ms(self) -> int:
        """Returns the time under the current configuration."""
        return self._max_hold_ms

    def _update(self, new: configuration.Configuration) -> None:
        self._max_hold_ms = shares.max_slot_hold_ms(new)


def predecessor_hold_ms(
    max_hold_time: MaxSlotHoldTime, ledger: loans.LoanLedger
) -> int:
    """How long requests and loans of a killed predecessor may last."""
    loan_duration_ms = ledger.loan_duration_ms()
    margin_ms = loan_duration_ms // slot_account.CLOCK_DRIFT_DIVISOR + 1
    return (
        loan_duration_ms
        + margin_ms
        + MAX_REMAINING_HOLDS * max_hold_time.current_ms()
    )


def seat_conflict_wait_ms(timing: settings_module.TimingSettings) -> int:
    """How long peers need to report that another process has the seat."""
    return 2 * timing.heartbeat_ms + timing.peer_timeout_ms
