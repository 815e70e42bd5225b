"""How far another machine has followed the primary, and whether the newest document may be sent to it now.

One write is under way to each machine. Whatever is written meanwhile waits in the primary's one document,
where the newest takes the place of the one before: a machine that lags costs its link no more than one
that keeps up, and its heartbeats are never behind a row of documents.

A write is under way until it is answered, or until a heartbeat sent after it is: the link keeps their order,
so the write has left it by then, or was lost. The machine may still be syncing it.
"""

from dataclasses import dataclass

from rookwood.coordination.document import Position


@dataclass
class MemberProgress:
    """What the primary of one epoch knows of one storage."""

    incarnation: int | None = None
    token: int | None = None
    stored: Position = Position()
    round: int = 0
    round_started_at: float = float("-inf")
    sent: Position = Position()
    sent_at: float = float("-inf")
    sent_in_round: int = 0
    write_under_way: bool = False
    disk_failed: bool = False
    lagging: bool = False

    def may_send(self, position: Position, now: float, resend: float) -> bool:
        """Tell whether to send the document at this position; the same one again after the resend time."""
        if self.write_under_way:
            return False
        return self.sent != position or now - self.sent_at >= resend

    def note_sent(self, position: Position, now: float, latest_round: int) -> None:
        """Note that a document is under way, sent after the heartbeats of the latest round."""
        self.sent = position
        self.sent_at = now
        self.sent_in_round = latest_round
        self.write_under_way = True

    def note_round(self, number: int, started_at: float | None) -> None:
        """Note that a heartbeat round was answered; its start is unknown where it is long ago."""
        if number > self.sent_in_round:
            self.write_under_way = False
        if started_at is not None and number > self.round:
            self.round = number
            self.round_started_at = started_at

    def note_stored(self, stored: Position, now: float, patience: float) -> None:
        """Note that a newer document is synced; a machine that answers within the patience keeps up."""
        self.stored = stored
        self.disk_failed = False
        if now - self.sent_at < patience:
            self.lagging = False
        if stored >= self.sent:
            self.write_under_way = False

    def note_failed(self, position: Position) -> None:
        """Note that the disk took no document."""
        self.disk_failed = True
        if position == self.sent:
            self.write_under_way = False
