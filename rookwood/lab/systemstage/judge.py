"""Judges what clients and workers saw by the rules of the system."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from rookwood.lab.emulatedworker.records import Run, RunOutcome, ViolationKind
from rookwood.lab.emulatedworker.worker import ModelWorker
from rookwood.lab.systemstage.client import ClientAnswer
from rookwood.lab.systemstage.machines import Timing

PROMISING_STATUSES = frozenset({408, 421, 429, 503})  # the request has not run and never will


class Rule(StrEnum):
    """The rules that are judged here, by their names."""

    MIXED = "MIXED"
    UNASKED = "UNASKED"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    ORDER = "ORDER"
    DRAIN = "DRAIN"
    BUDGET = "BUDGET"
    ONE = "ONE"
    LIMIT = "LIMIT"
    CEILING = "CEILING"


VIOLATED_RULES = {ViolationKind.OVER_CAPACITY: Rule.LIMIT, ViolationKind.SHARED_FENCE: Rule.ONE}


@dataclass(frozen=True)
class RuleBreak:
    """A broken rule, and by what."""

    rule: Rule
    detail: str


class Judge:
    """Compares what clients received with what workers ran."""

    def __init__(
        self, answers: Iterable[ClientAnswer], workers: Sequence[ModelWorker], timing: Timing
    ) -> None:
        self._answers = {answer.try_id: answer for answer in answers}
        self._workers = workers
        self._timing = timing
        self._runs = [run for worker in workers for run in worker.records.runs]
        self._by_seal = {run.seal: run for run in self._runs}
        self._by_label = {run.label: run for run in self._runs}

    def broken_rules(self) -> list[RuleBreak]:
        """Everything that breaks a rule."""
        breaks: list[RuleBreak] = []
        for run in self._runs:
            breaks += self._judge_run(run)
        for answer in self._answers.values():
            breaks += self._judge_answer(answer)
        for worker in self._workers:
            breaks += self._judge_worker(worker)
        return breaks

    def _judge_run(self, run: Run) -> Iterator[RuleBreak]:
        answer = self._answers.get(run.try_id)
        if answer is None:
            yield RuleBreak(Rule.UNASKED, f"{run.label} of the unknown id {run.try_id}")
            return
        asked = ("POST", answer.sent_path, answer.sent_body_digest)
        if (run.method, run.path, run.body_digest) != asked:
            yield RuleBreak(Rule.UNASKED, f"{run.label} was changed: {run.method} {run.path}")

    def _judge_answer(self, answer: ClientAnswer) -> Iterator[RuleBreak]:
        runs = [run for run in self._runs if run.try_id == answer.try_id]
        if not answer.route.idempotent and len(runs) > 1:
            yield RuleBreak(Rule.TWICE, f"{answer.try_id} ran {len(runs)} times")
        if not answer.route.idempotent and answer.status in PROMISING_STATUSES and runs:
            yield RuleBreak(Rule.REFUSED, f"{answer.try_id} got {answer.status} and ran")
        if len({run.instance for run in runs}) > answer.route.tries:
            yield RuleBreak(Rule.BUDGET, f"{answer.try_id} ran on {len(runs)} workers")
        if answer.status // 100 == 2:
            yield from self._judge_success(answer)
        elif answer.seal is not None:
            run = self._by_seal.get(answer.seal)
            if run is None or run.status != answer.status:
                yield RuleBreak(Rule.MIXED, f"{answer.try_id}: {answer.status} under the seal {answer.seal}")

    def _judge_success(self, answer: ClientAnswer) -> Iterator[RuleBreak]:
        run = self._by_seal.get(answer.seal or "")
        if run is None or run.try_id != answer.try_id or answer.answered_try_id != answer.try_id:
            yield RuleBreak(Rule.MIXED, f"{answer.try_id}: success under the seal {answer.seal}")
        elif answer.is_stream:
            yield from self._judge_stream(answer, run)
        elif answer.complete and (bytes(run.answer) != answer.body or run.outcome is not RunOutcome.COMPLETE):
            yield RuleBreak(Rule.MIXED, f"{answer.try_id}: the body is not that of {run.label}")

    def _judge_stream(self, answer: ClientAnswer, first_run: Run) -> Iterator[RuleBreak]:
        first = answer.last_event_id + 1
        if answer.event_ids != list(range(first, first + len(answer.events))):
            yield RuleBreak(Rule.ORDER, f"{answer.try_id}: the events {answer.event_ids} after {first - 1}")
        labels = list(dict.fromkeys(event.run_label for event in answer.events))
        if len(labels) > 1 and not answer.route.resume:
            yield RuleBreak(Rule.ORDER, f"{answer.try_id}: pieces of {labels} are joined")
        runs = [self._by_label.get(label) for label in labels]
        if any(run is None or run.try_id != answer.try_id for run in runs):
            yield RuleBreak(Rule.MIXED, f"{answer.try_id}: events of {labels}")
        elif answer.complete and answer.event_ids[-1:] != [first_run.final_event_id]:
            yield RuleBreak(Rule.ORDER, f"{answer.try_id}: complete after {answer.event_ids[-1:]}")

    def _judge_worker(self, worker: ModelWorker) -> Iterator[RuleBreak]:
        for violation in worker.records.violations:
            yield RuleBreak(VIOLATED_RULES[violation.kind], f"{violation.kind}: {violation.detail}")
        for run in worker.runs_after_drain(self._timing.drain_ms / 1000):
            yield RuleBreak(Rule.DRAIN, f"{run.label} came after the draining was acknowledged")
