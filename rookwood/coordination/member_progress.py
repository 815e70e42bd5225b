"""How far another machine has followed the primary, and whether the newest document may be sent to it now.

At most one write is under way to each machine. Newer documents wait at the primary, which keeps only the
newest. So a lagging machine does not load its link more than one that keeps up, and heartbeats to it never
queue behind several documents.

A write is under way until it is acknowledged, or until a heartbeat that was sent after it is. The link keeps
their order, so by then the write has left the link or was lost. The machine may still be syncing it.
"""

from dataclasses import dataclass

from rookwood.coordination.document import Position


@dataclass
class MemberProgress:
    """What the primary of one epoch knows about one machine's storage.

    `acknowledged_round` is the newest heartbeat round that the machine acknowledged, `sent_after_round` the
    newest round when the document at `sent_position` was sent. `is_lagging` is set when the machine was
    late with a copy; commits do not wait for it until it keeps up again.
    """

    incarnation: int | None = None
    token: int | None = None
    stored_position: Position = Position()
    acknowledged_round: int = 0
    acknowledged_round_started_at: float = float("-inf")
    sent_position: Position = Position()
    sent_at: float = float("-inf")
    sent_after_round: int = 0
    write_under_way: bool = False
    disk_failed: bool = False
    is_lagging: bool = False

    def may_send(self, position: Position, now: float, resend: float) -> bool:
        """Return whether to send the document at this position.

        No other write may be under way. The same document is sent again after the resend time.
        """
        if self.write_under_way:
            return False
        return self.sent_position != position or now - self.sent_at >= resend

    def record_sent(self, position: Position, now: float, latest_round: int) -> None:
        """Record that a document was sent, after the heartbeats of the latest round."""
        self.sent_position = position
        self.sent_at = now
        self.sent_after_round = latest_round
        self.write_under_way = True

    def record_acknowledged_round(self, number: int, started_at: float | None) -> None:
        """Record an acknowledged heartbeat round; `started_at` is None if the round is no longer tracked."""
        if number > self.sent_after_round:
            self.write_under_way = False
        if started_at is not None and number > self.acknowledged_round:
            self.acknowledged_round = number
            self.acknowledged_round_started_at = started_at

    def record_stored(self, stored: Position, now: float, patience: float) -> None:
        """Record that a newer document is synced.

        A machine that acknowledges within `patience` seconds keeps up.
        """
        self.stored_position = stored
        self.disk_failed = False
        if now - self.sent_at < patience:
            self.is_lagging = False
        if stored >= self.sent_position:
            self.write_under_way = False

    def record_failed_write(self, position: Position) -> None:
        """Record that the machine could not store a document."""
        self.disk_failed = True
        if position == self.sent_position:
            self.write_under_way = False
