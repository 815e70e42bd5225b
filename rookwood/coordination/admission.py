"""How a machine that is no active member finds the group: recovery of a lost storage, or joining."""

from rookwood.coordination.context import Context
from rookwood.coordination.document import Document, Record
from rookwood.coordination.journal import AdmittedStep
from rookwood.coordination.messages import Inquiry, JoinRequest, Situation
from rookwood.coordination.quorum import copy_quorum


class Admission:
    """Asks every known machine for its state until this one is a member again."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._newest = context.journal.latest.document
        self._promised = context.journal.latest.promised
        self._answers: dict[str, int] = {}
        self._recovering_answers: dict[str, int] = {}
        self._ask_at = context.now

    def tick(self) -> None:
        """Ask again when it is time."""
        if self._context.now < self._ask_at:
            return
        self._ask_at = self._context.now + self._context.timing.inquiry
        recovering = self._context.is_recovering()
        for ip in self._known_machines():
            self._context.send(ip, Inquiry(self._newest.position))
            if not recovering:
                self._context.send(ip, JoinRequest(self._context.journal.latest.token))

    def next_wakeup(self) -> float:
        """Return when to ask again."""
        return self._ask_at

    def on_situation(self, sender: str, incarnation: int, situation: Situation) -> None:
        """Count the answer of another machine."""
        if situation.inquirer != self._context.incarnation:
            return
        if situation.recovering:
            self._recovering_answers[sender] = incarnation
            self._answers.pop(sender, None)
        else:
            self._answers[sender] = incarnation
            self._recovering_answers.pop(sender, None)
        self._promised = max(self._promised, situation.promised)
        if situation.document is not None:
            self.note_document(situation.document)
        self._try_to_recover()

    def note_document(self, document: Document) -> None:
        """Take note of a document that another machine told."""
        self._context.note_configuration(document.position, document.configuration)
        if document.position > self._newest.position:
            self._newest = document

    def _try_to_recover(self) -> None:
        context = self._context
        configuration = context.configuration()
        token = configuration.token_of(context.ip)
        if not context.is_recovering() or token is None or not context.journal.healthy:
            return
        if self._newest.position < context.heard_position:
            return
        others = [ip for ip in configuration.everyone() if ip != context.ip]
        if not all(self._has_answered(ip) for ip in others) or not others:
            return
        wiped = 1 + sum(ip in self._recovering_answers for ip in others)
        if wiped >= copy_quorum(len(configuration.members), context.tolerate):
            return
        promised = max(self._promised, self._newest.position.epoch)
        record = Record(token, promised, True, self._newest)
        context.offer(self._newest)
        context.journal.update(record, AdmittedStep())

    def _has_answered(self, ip: str) -> bool:
        contact = self._context.contacts.get(ip)
        if contact is None:
            return False
        return contact.incarnation in (self._answers.get(ip), self._recovering_answers.get(ip))

    def _known_machines(self) -> tuple[str, ...]:
        everyone = (*self._context.seeds, *self._context.configuration().everyone())
        return tuple(ip for ip in dict.fromkeys(everyone) if ip != self._context.ip)
