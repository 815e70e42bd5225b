"""What a member knows of the primary that it follows, and how it takes and acknowledges documents."""

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
    """A backup's, or a learner's, side of the replication."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.primary: str | None = None
        self._epoch = 0
        self._heard_at = float("-inf")
        self._expected_until = float("-inf")
        self._distrusted_until = float("-inf")
        self._committed = Position()

    # What is known of the primary

    def hears_primary(self) -> bool:
        """Tell whether the primary is not overdue."""
        return self._context.now < self._expected_until

    def lease_end(self) -> float:
        """Return until when what the primary told counts as fresh."""
        if self._distrusted_until > self._context.now:
            return self._distrusted_until
        return self._heard_at + self._context.timing.lease

    def role(self, now: float, is_member: bool) -> Backup | Learner | None:
        """Return the role towards the primary, None if none is known or it is this process.

        A process that is no member has a role only as long as it hears the primary.
        """
        if self.primary is None or self.primary == self._context.ip:
            return None
        in_touch = self._is_in_touch(now)
        if is_member:
            return Backup(self.primary, self._epoch, in_touch, self._is_level())
        return Learner(self.primary, self._epoch, in_touch, self._is_level()) if in_touch else None

    def distrust(self, until: float) -> None:
        """Count nothing heard until a moment as news: it waited while this process stood still."""
        self._distrusted_until = until

    def _is_in_touch(self, now: float) -> bool:
        return now >= self._distrusted_until and now - self._heard_at <= self._context.timing.lease

    def _is_level(self) -> bool:
        """Tell whether this process holds every commit of a primary that is established.

        Before its first commit a primary tells of none, and what others committed may be missing here.
        """
        return self._committed.epoch == self._epoch and self._context.applied >= self._committed

    def follow(self, primary: str, epoch: int) -> None:
        """Note that a primary is heard."""
        self.primary = primary
        self._epoch = epoch
        self._heard_at = self._context.now
        self._expected_until = self._context.now + self._context.timing.primary_silence

    def lead(self, epoch: int) -> None:
        """Note that this process is the primary."""
        self.primary = self._context.ip
        self._epoch = epoch

    def forget(self) -> None:
        """Note that no primary is known."""
        self.primary = None

    def suspect(self) -> bool:
        """Expect less of a primary whose connection closed, and tell whether that made a difference."""
        suspected_at = self._context.now + self._context.timing.disconnect_silence
        if suspected_at >= self._expected_until:
            return False
        self._expected_until = suspected_at
        return True

    # Messages

    def accepts(self, sender: str, epoch: int) -> bool:
        """Tell whether an epoch is none before the promised one; its sender is told if it is."""
        promised = self._context.journal.latest.promised
        if epoch >= promised:
            return True
        self._context.send(sender, Refused(epoch, promised))
        return False

    def acknowledge_round(self, sender: str, heartbeat: Heartbeat) -> None:
        """Apply what is committed, and answer with the newest document that is synced."""
        self._committed = max(self._committed, heartbeat.committed)
        self._context.apply_commit(heartbeat.committed)
        durable = self._context.journal.durable
        position = durable.document.position
        self._context.send(sender, HeartbeatAck(heartbeat.epoch, heartbeat.round, position, durable.token))

    def store(self, sender: str, write: Write) -> None:
        """Put a document on the disk, and acknowledge it once it is synced.

        A heartbeat may have told of its commit before: it does not wait behind documents.
        """
        journal = self._context.journal
        position = write.document.position
        self._context.offer(write.document)
        self._context.apply_commit(self._committed)
        if not journal.healthy:
            self._context.send(sender, WriteFailed(position.epoch, position))
            return
        step = WriteStep(sender, position)
        if position > journal.latest.document.position:
            journal.update(journal.latest.with_document(write.document), step)
        elif journal.is_settled():
            self.acknowledge_write(step)
        else:
            journal.await_latest(step)

    def acknowledge_write(self, step: WriteStep) -> None:
        """Tell the primary the newest document that is synced."""
        durable = self._context.journal.durable
        acknowledgement = WriteAck(step.position.epoch, durable.document.position, durable.token)
        self._context.send(step.primary, acknowledgement)

    def refuse_write(self, step: WriteStep) -> None:
        """Tell the primary that the disk did not take its document."""
        self._context.send(step.primary, WriteFailed(step.position.epoch, step.position))
