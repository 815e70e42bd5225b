"""A dispatcher between workers that break HTTP at byte level and many clients, judged from outside.

The bounded run here draws its plans by hypothesis, the same ones each time; `rookwood experiment
worker-answers` plays many more. The judge is tested by faults put into the dispatcher on purpose.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import unittest
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from unittest import mock

import aiohttp
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rookwood.dataplane import retry_rules, upstream
from rookwood.httpclient import client as http_client
from rookwood.httpclient.client import Response
from rookwood.httpclient.connections import ResponseProtocol
from rookwood.httpclient.outcomes import ResponseLost
from rookwood.lab.exchange_clients import ClientHabits
from rookwood.lab.exchange_judge import (
    EVENTS,
    ClientAnswer,
    ExchangeRecords,
    RequestKind,
    Rule,
    SentRequest,
    WorkerRun,
    find_violations,
    stream_body,
    stream_event,
)
from rookwood.lab.misbehaving_worker import (
    Ending,
    Extra,
    Framing,
    Identity,
    Misbehaviour,
    Reaction,
    surplus_answer,
)
from rookwood.lab.worker_answers import ExchangeStage, Plan, play_part

EXAMPLES = 150
CLIENTS = 4
REQUESTS_OF_CLIENT = 3
WORKERS = 3
TIME_LEFT_MS = 200
BODY_SIZES = (0, 8, 5_000, 400_000)
METHODS = ("POST", "PUT", "DELETE")
SHARES = st.floats(0, 1, exclude_max=True)

MISBEHAVIOURS = st.builds(
    Misbehaviour,
    reaction=st.sampled_from(Reaction),
    framing=st.sampled_from(Framing),
    identity=st.sampled_from(Identity),
    sealed=st.booleans(),
    encoded=st.booleans(),
    before=st.sampled_from(Extra),
    after=st.sampled_from(Extra),
    after_when_idle=st.booleans(),
    surplus_rejects=st.booleans(),
    surplus_share=SHARES,
    cut=st.none() | SHARES,
    ending=st.sampled_from(Ending),
    early=st.booleans(),
    says_close=st.booleans(),
    pieces=st.integers(1, 4),
    delay=st.sampled_from((0.0, 0.0, 0.003)),
)
PROPER = st.just(Misbehaviour())
ONE_FAULT = st.one_of(
    st.builds(Misbehaviour, reaction=st.sampled_from(Reaction)),
    st.builds(Misbehaviour, before=st.sampled_from(Extra), surplus_share=SHARES),
    st.builds(Misbehaviour, after=st.sampled_from(Extra), after_when_idle=st.booleans()),
    st.builds(
        Misbehaviour,
        framing=st.sampled_from(Framing),
        cut=st.none() | SHARES,
        ending=st.sampled_from(Ending),
    ),
)
SENDINGS = st.tuples(
    st.sampled_from(RequestKind),
    st.sampled_from(BODY_SIZES),
    st.sampled_from(METHODS),
    st.booleans(),  # chunked
    st.none() | st.sampled_from((0.0, 0.002, 0.01)),  # leaves after
    st.booleans(),  # by a reset
    st.booleans(),  # keeps its connection
)
Sending = tuple[RequestKind, int, str, bool, float | None, bool, bool]
numbers = itertools.count(1)


def habits_of(sending: Sending) -> ClientHabits:
    """What a client does, under an id of its own."""
    kind, size, method, chunked, leaves_after, by_reset, keeps = sending
    request = SentRequest(f"try-{next(numbers)}", kind, size, method)
    return ClientHabits(request, chunked, TIME_LEFT_MS, leaves_after, by_reset, keeps)


async def play(plans: Sequence[Misbehaviour], clients: Sequence[Sequence[ClientHabits]]) -> ExchangeRecords:
    """Let clients send side by side; workers take the plans in turn, over and over."""
    source = itertools.cycle(plans)
    async with ExchangeStage(WORKERS, lambda: next(source)) as stage:
        await asyncio.gather(*(stage.exchange(list(habits)) for habits in clients))
        await stage.requests_ended()
    return stage.records


class BoundedRunTests(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)  # clients that leave are told with a traceback each
        self.addCleanup(logging.disable, logging.NOTSET)

    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        plans=st.lists(PROPER | ONE_FAULT | MISBEHAVIOURS, min_size=1, max_size=8),
        sendings=st.lists(
            st.lists(SENDINGS, min_size=1, max_size=REQUESTS_OF_CLIENT), min_size=1, max_size=CLIENTS
        ),
    )
    def test_no_rule_is_broken(self, plans: list[Misbehaviour], sendings: list[list[Sending]]) -> None:
        clients = [[habits_of(sending) for sending in of_client] for of_client in sendings]
        records = asyncio.run(play(plans, clients))
        self.assertEqual([], find_violations(records))

    def test_many_clients_break_no_rule(self) -> None:
        figures = play_part(Plan(exchanges=1200, seed=11, processes=1, clients=40), 0)
        self.assertEqual([], figures.violations)
        self.assertEqual(1200, figures.exchanges)
        self.assertGreater(figures.answers["200"], 300)
        self.assertGreater(figures.answers["client left"], 0)


class FaultyDispatcherTests(unittest.IsolatedAsyncioTestCase):
    """The judge finds faults that a dispatcher could have."""

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    async def rules_broken(self, plans: Sequence[Misbehaviour], kind: RequestKind) -> set[Rule]:
        """The rules that a few requests of one client find broken."""
        habits = [
            ClientHabits(SentRequest(f"try-{next(numbers)}", kind, 8, "PUT"), time_left_ms=1000)
            for _ in range(max(12, len(plans)))
        ]
        records = await play(plans, [habits])
        return {violation.rule for violation in find_violations(records)}

    async def assert_found(
        self, fault: Any, rule: Rule, *plans: Misbehaviour, kind: RequestKind = RequestKind.MUTATING
    ) -> None:
        """The rule holds as the dispatcher is, and is found broken with the fault."""
        self.assertEqual(set(), await self.rules_broken(plans, kind))
        with fault:
            self.assertIn(rule, await self.rules_broken(plans, kind))

    async def test_a_reset_taken_for_the_end(self) -> None:
        fault = mock.patch.object(ResponseProtocol, "_break_response", lambda self, cause: None)
        plans = [
            Misbehaviour(framing=Framing.UNFRAMED, cut=share / 200, ending=Ending.RESET)
            for share in range(100, 200)
        ]
        await self.assert_found(fault, Rule.MIXED, plans[-1])
        await self.assert_found(fault, Rule.ORDER, *plans, kind=RequestKind.STREAM)

    async def test_a_break_taken_for_the_end_of_a_stream(self) -> None:
        read = Response.read_some

        async def read_to_any_end(answer: Response) -> bytes | ResponseLost:
            data = await read(answer)
            return b"" if isinstance(data, ResponseLost) else data

        fault = mock.patch.object(Response, "read_some", read_to_any_end)
        plans = [Misbehaviour(framing=Framing.CHUNKED, cut=share / 200) for share in range(100, 200)]
        await self.assert_found(fault, Rule.ORDER, *plans, kind=RequestKind.STREAM)

    async def test_an_answer_to_another_request_passed_on(self) -> None:
        fault = mock.patch.object(upstream, "find_response_defect", lambda answer, request: None)
        await self.assert_found(fault, Rule.MIXED, Misbehaviour(identity=Identity.OTHER))

    async def test_the_head_of_one_answer_with_the_rest_of_another(self) -> None:
        fault = mock.patch.object(http_client, "find_head_flaw", lambda response: None)
        share = (len(b"HTTP/1.1 200 O") + 0.5) / len(surplus_answer("none", rejects=False))
        plan = Misbehaviour(reaction=Reaction.FAIL, before=Extra.SURPLUS_PART, surplus_share=share)
        with mock.patch("rookwood.lab.misbehaving_worker.MisbehavingWorker.earlier_id", lambda self: "none"):
            await self.assert_found(fault, Rule.MIXED, plan)

    async def test_a_request_sent_again_by_the_library(self) -> None:
        async def send_as_often_as_the_library_likes(
            request: aiohttp.ClientRequest,
            handler: Callable[[aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]],
        ) -> aiohttp.ClientResponse:
            return await handler(request)

        fault = mock.patch.object(http_client, "send_once", send_as_often_as_the_library_likes)
        await self.assert_found(fault, Rule.TWICE, *[Misbehaviour()] * 3, Misbehaviour(cut=0.0))

    async def test_a_request_sent_again_after_a_break(self) -> None:
        fault = mock.patch.object(retry_rules.RetryRules, "may_retry", lambda *arguments: True)
        await self.assert_found(fault, Rule.TWICE, Misbehaviour(cut=0.0), Misbehaviour(), Misbehaviour())

    async def test_a_promise_that_the_worker_did_not_give(self) -> None:
        fault: Any = mock.patch.object(upstream, "NOT_RUN_STATUSES", frozenset())
        await self.assert_found(fault, Rule.REFUSED, Misbehaviour(reaction=Reaction.FALSE_PROMISE))


class JudgeTests(unittest.TestCase):
    """The judge on records made by hand."""

    def rules(self, records: ExchangeRecords) -> list[Rule]:
        """The rules found broken."""
        return [violation.rule for violation in find_violations(records)]

    def records(
        self,
        kind: RequestKind = RequestKind.MUTATING,
        runs: Sequence[dict[str, Any]] = ({},),
        **answer: Any,
    ) -> ExchangeRecords:
        """One request with an answer; a proper exchange but for what is named."""
        request = SentRequest("a", kind, 8)
        body = stream_body("a") if kind.streams else b"body"
        proper_run = {
            "request_id": "a",
            "worker": "w",
            "method": "POST",
            "target": request.target,
            "intact": True,
            "seal": "s",
            "status": 200,
            "ran": True,
            "whole_body": body,
        }
        proper_answer = {"status": 200, "request_id": "a", "seal": "s", "body": body, "complete": True}
        return ExchangeRecords(
            requests={"a": request},
            runs=[WorkerRun(**{**proper_run, **run}) for run in runs],
            answers=[ClientAnswer(request, **{**proper_answer, **answer})],
        )

    def test_a_proper_exchange(self) -> None:
        for kind in RequestKind:
            self.assertEqual([], self.rules(self.records(kind)))

    def test_a_success_that_is_not_the_whole_answer(self) -> None:
        for change in ({"body": b"bod"}, {"seal": None}, {"seal": "other"}, {"request_id": "b"}):
            self.assertEqual([Rule.MIXED], self.rules(self.records(**change)))
        self.assertEqual([Rule.MIXED], self.rules(self.records(runs=[{"status": 500}])))
        self.assertEqual([Rule.MIXED], self.rules(self.records(runs=[{"whole_body": None}])))
        self.assertEqual([Rule.MIXED], self.rules(self.records(runs=[{"request_id": "b"}]))[1:])

    def test_an_answer_that_is_cut_breaks_nothing(self) -> None:
        self.assertEqual([], self.rules(self.records(body=b"bod", complete=False)))

    def test_bytes_that_are_no_answer(self) -> None:
        self.assertEqual([Rule.MIXED], self.rules(self.records(malformed="bytes after the answer")))

    def test_streams(self) -> None:
        first = stream_event("a", 1)
        for body in (first * 2, stream_event("a", 2), first + b"x"):
            self.assertEqual(
                [Rule.ORDER], self.rules(self.records(RequestKind.STREAM, body=body, complete=False))
            )
        self.assertEqual([Rule.ORDER], self.rules(self.records(RequestKind.STREAM, body=first)))
        closed = self.records(RequestKind.STREAM, body=first, runs=[{"closes_early": True}])
        self.assertEqual([], self.rules(closed))
        self.assertGreater(EVENTS, 1)

    def test_a_request_that_runs_twice(self) -> None:
        twice = [{}, {"seal": "t"}]
        self.assertEqual([Rule.TWICE], self.rules(self.records(runs=twice)))
        self.assertEqual([], self.rules(self.records(RequestKind.SAFE, runs=twice)))
        self.assertEqual([], self.rules(self.records(runs=[{}, {"seal": "t", "ran": False}])))

    def test_more_sends_than_the_route_allows(self) -> None:
        runs = [{"seal": seal} for seal in ("s", "t", "u", "v")]
        self.assertEqual([Rule.BUDGET], self.rules(self.records(RequestKind.SAFE, runs=runs)))

    def test_a_promise_for_a_request_that_ran(self) -> None:
        for status in (408, 421, 429, 503):
            refusal: dict[str, Any] = {"status": status, "seal": None, "body": b""}
            self.assertEqual([Rule.REFUSED], self.rules(self.records(**refusal)))
            self.assertEqual([], self.rules(self.records(runs=[{"ran": False}], **refusal)))
            self.assertEqual([], self.rules(self.records(RequestKind.SAFE, **refusal)))

    def test_requests_that_no_client_sent(self) -> None:
        for change in ({"intact": False}, {"method": "GET"}, {"target": "/other/"}):
            self.assertEqual([Rule.UNASKED], self.rules(self.records(runs=[change])))
        records = self.records()
        records.stray_bytes.append(("w", "bytes"))
        self.assertEqual([Rule.UNASKED], self.rules(records))


if __name__ == "__main__":
    unittest.main()
