"""The ticket of one connection in its listener's admission control."""

from __future__ import annotations

from eiderfield.connections.admission import AdmissionControl, Rejection


class ConnectionAdmission:
    """A connection's admission ticket, and the message that admission control counts on it.

    The ticket is released once, after the end of the message. Without admission control, and for a
    connection that is not admitted, nothing is counted.
    """

    def __init__(self, admission: AdmissionControl | None, ticket: int | None) -> None:
        """Hold a ticket that admission control has issued."""
        self._admission = admission
        self._ticket = ticket
        self.message_counted = False  # whether an incomplete message is counted

    def begin_message(self) -> Rejection | None:
        """Count an incomplete message; return a rejection if its source has too many of these."""
        if self._admission is None or self._ticket is None or self.message_counted:
            return None
        rejection = self._admission.begin_message(self._ticket)
        self.message_counted = rejection is None
        return rejection

    def end_message(self) -> None:
        """Stop counting a message that is complete, or whose connection is over."""
        if self.message_counted and self._admission is not None and self._ticket is not None:
            self._admission.end_message(self._ticket)
        self.message_counted = False

    def take_ticket(self) -> int | None:
        """Return the ticket without releasing it, for a connection that is parked."""
        ticket, self._ticket = self._ticket, None
        return ticket

    def restore_ticket(self, ticket: int | None) -> None:
        """Hold a ticket again: the connection could not be parked."""
        self._ticket = ticket

    def release(self) -> None:
        """Release the ticket: the connection is closed."""
        if self._ticket is not None and self._admission is not None:
            self._admission.release(self._ticket)
            self._ticket = None
