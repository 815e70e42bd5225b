"""The follower's side of the replication: contact with the primary, and storing of its documents."""

from rookwood.coordination.context import Context
from rookwood.coordination.document import Position
from rookwood.coordination.journal import WriteStep
from rookwood.coordination.messages import (
    Heartbeat,
    HeartbeatAck,
    Refused,
    Write,
    WriteAck,
    WriteFailed,
)
from rookwood.coordination.outcomes import Backup, Learner


class Follower:
    """Tracks the primary, and stores and acknowledges its documents, as a backup or a learner."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.primary: str | None = None
        self._epoch = 0
        self._last_message_at = float("-inf")
        self._primary_deadline = float("-inf")
        self._stale_until = float("-inf")
        self._committed_position = Position()

    # The primary

    def has_live_primary(self) -> bool:
        """Return whether the next message of the primary is not overdue yet."""
        return self._context.now < self._primary_deadline

    def contact_expires_at(self) -> float:
        """Return when the contact with the primary expires, or when messages stop being stale."""
        if self._stale_until > self._context.now:
            return self._stale_until
        return self._last_message_at + self._context.timing.lease

    def role(self, now: float, is_member: bool) -> Backup | Learner | None:
        """Return the role towards the primary, None if no primary is known or it is this process.

        A process that is not a member has a role only while it is in contact with the primary.
        """
        if self.primary is None or self.primary == self._context.ip:
            return None
        in_contact = self._is_in_contact(now)
        if is_member:
            return Backup(self.primary, self._epoch, in_contact, self._is_up_to_date())
        return Learner(self.primary, self._epoch, in_contact, self._is_up_to_date()) if in_contact else None

    def ignore_stale_messages(self, until: float) -> None:
        """Do not count messages that arrive before `until` as contact.

        They may have been queued while this process was stalled.
        """
        self._stale_until = until

    def _is_in_contact(self, now: float) -> bool:
        return now >= self._stale_until and now - self._last_message_at <= self._context.timing.lease

    def _is_up_to_date(self) -> bool:
        """Return whether this process has applied every commit that an established primary announced.

        A primary announces no commit before its first one, and commits of earlier primaries may be missing
        here.
        """
        return (
            self._committed_position.epoch == self._epoch
            and self._context.applied_position >= self._committed_position
        )

    def follow(self, primary: str, epoch: int) -> None:
        """Record a message of the primary of this epoch."""
        self.primary = primary
        self._epoch = epoch
        self._last_message_at = self._context.now
        self._primary_deadline = self._context.now + self._context.timing.primary_silence

    def record_own_leadership(self, epoch: int) -> None:
        """Record that this process is the primary of this epoch."""
        self.primary = self._context.ip
        self._epoch = epoch

    def forget_primary(self) -> None:
        """Record that no primary is known."""
        self.primary = None

    def shorten_primary_deadline(self) -> bool:
        """Expect the next message of the primary sooner, since its connection closed.

        Return whether this moved the deadline.
        """
        suspected_at = self._context.now + self._context.timing.disconnect_silence
        if suspected_at >= self._primary_deadline:
            return False
        self._primary_deadline = suspected_at
        return True

    # Messages

    def accepts_epoch(self, sender: str, epoch: int) -> bool:
        """Return whether an epoch is at least the promised one; otherwise send a `Refused` to its sender."""
        promised = self._context.journal.latest.promised
        if epoch >= promised:
            return True
        self._context.send(sender, Refused(epoch, promised))
        return False

    def acknowledge_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Apply the announced commit, and acknowledge with the position of the newest synced document."""
        self._committed_position = max(self._committed_position, heartbeat.committed)
        self._context.apply_commit(heartbeat.committed)
        durable = self._context.journal.durable
        position = durable.document.position
        self._context.send(sender, HeartbeatAck(heartbeat.epoch, heartbeat.round, position, durable.token))

    def store_document(self, sender: str, write: Write) -> None:
        """Write a document to disk, and acknowledge it once it is synced.

        A heartbeat may have announced its commit already, since heartbeats do not wait behind documents.
        """
        journal = self._context.journal
        position = write.document.position
        self._context.record_document(write.document)
        self._context.apply_commit(self._committed_position)
        if not journal.disk_healthy:
            self._context.send(sender, WriteFailed(position.epoch, position))
            return
        step = WriteStep(sender, position)
        if position > journal.latest.document.position:
            journal.update(journal.latest.with_document(write.document), step)
        elif journal.is_latest_durable():
            self.acknowledge_write(step)
        else:
            journal.run_when_durable(step)

    def acknowledge_write(self, step: WriteStep) -> None:
        """Send the primary the position of the newest synced document."""
        durable = self._context.journal.durable
        acknowledgement = WriteAck(step.position.epoch, durable.document.position, durable.token)
        self._context.send(step.primary, acknowledgement)

    def report_failed_write(self, step: WriteStep) -> None:
        """Report to the primary that its document could not be stored."""
        self._context.send(step.primary, WriteFailed(step.position.epoch, step.position))
