"""The ledger at work in one dispatcher: claimed before anything is sent, renewed, settled before the answer.

It wraps the life of a keyed unsafe request (`served`). It owns the store, and the memory of its own claims:
when the store has gone back in time it writes them again, and until all dispatchers have, a key that the
store does not know is refused rather than run.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import partial

import structlog

from rookwood.ledger.health import FIRST_PAUSE, Breaker, Circuit, claim_limit
from rookwood.ledger.keys import UnsoundKeyError, fingerprint, key_of
from rookwood.ledger.life import Ask, Phase, Record, Said, Verdict
from rookwood.ledger.store import NotTakenError, Reply, Store, StoreError, Tier
from rookwood.ledger.watch import History, Member, Watch
from rookwood.net.clock import Clock
from rookwood.net.request import InboundRequest, RequestProgress, Response

log = structlog.stdlib.get_logger(__name__)

Run = Callable[[RequestProgress], Awaitable[Response]]
TICK = timedelta(milliseconds=100)  # the store is looked at so often, also while nothing is asked of it
SETTLE_LIMIT = timedelta(milliseconds=150)  # so long a result waits until it is written; nothing else waits
MOST_TASKS = 200  # claims that are taken back, and outcomes that are written, at a time
ROUNDS = 3  # of asking for a claim, with the history made sure of in between


@dataclass(frozen=True, slots=True)
class Terms:
    """Spans that a claim lives by."""

    lease: timedelta = timedelta(seconds=2)
    kept: timedelta = timedelta(minutes=10)  # outcomes, for retries


@dataclass(slots=True, eq=False)
class Held:
    """One claim of this dispatcher, until nobody needs its memory."""

    key: str
    record: Record
    open: bool = True  # to be renewed and settled
    outcome: tuple[Phase, bytes] | None = None  # known here, and not yet written


class Ledger:
    def __init__(
        self, name: str, store: Store, tier: Tier, terms: Terms, clock: Clock, unsafe: frozenset[str]
    ) -> None:
        self._name, self._store, self._tier, self._terms = name, store, tier, terms
        self._clock, self._unsafe = clock, unsafe
        self._watch, self._breaker, self._random = Watch(), Breaker(), random.Random()
        self._held: dict[str, Held] = {}
        self._since: datetime | None = None  # this life's start, by the store's clock
        self._begun = clock.now()
        self._known = 0  # the highest token here
        self.counts: Counter[str] = Counter()
        self._joining = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._spawn(self._ticks())

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._store.close()

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # ---- a request ----

    def applies_to(self, request: InboundRequest) -> bool:
        return request.idempotency_key is not None and request.job_class in self._unsafe

    async def serve_once(self, request: InboundRequest, run: Run) -> Response:
        """The whole life of a keyed unsafe request: claimed, run, settled, answered."""
        assert request.idempotency_key is not None
        try:
            key = key_of(request.idempotency_key)
        except UnsoundKeyError as error:
            return Response(400, f"{error}\n".encode())
        left = request.deadline - self._clock.now()
        mark = fingerprint(request.worker_request.target, request.worker_request.body)
        ask = Ask(key, mark, secrets.token_hex(8), self._terms.lease, left, self._terms.kept)
        try:
            async with asyncio.timeout(claim_limit(left).total_seconds()):
                said = await self._claim(ask)
        except (StoreError, TimeoutError) as error:
            # Nothing has run. A claim that was made all the same is taken back, or found unknown by a retry.
            self.counts["unreachable"] += 1
            if not isinstance(error, NotTakenError) and len(self._tasks) < MOST_TASKS:
                self._spawn(self._withdraw(ask))
            log.warning(
                "no claim", request_id=request.worker_request.request_id, why=str(error) or "too slow"
            )
            # Each a time of its own: those who are refused together must not be back together.
            wait = max(FIRST_PAUSE, self._breaker.wait(self._clock.now())) * self._random.uniform(1, 3)
            return Response(503, b"the store does not answer\n", wait)
        self.counts[said.verdict.value] += 1
        match said.verdict:
            case Verdict.GRANTED:
                return await self._run(self._held[key], run, request.deadline)
            case Verdict.KEPT:
                return Response(200, said.result, replayed=True)
            case Verdict.UNKNOWN:
                return Response(502, b"an earlier try may have run\n", replayed=True)
            case Verdict.MISMATCH:
                return Response(422, b"this Idempotency-Key was used for another request\n")
            case Verdict.BUSY:
                return Response(409, b"a try with this Idempotency-Key is in hand\n", said.wait)
            case Verdict.UNSURE:
                return Response(
                    503, b"the store may have lost this key\n", min(said.wait, timedelta(seconds=1))
                )
        raise AssertionError(said.verdict)

    async def _run(self, held: Held, run: Run, deadline: datetime) -> Response:
        course = RequestProgress()
        answer: Response | None = None
        try:
            answer = await run(course)
        finally:
            # Also when the client has gone or something here failed: what is known is written down.
            if answer and answer.status == 200:
                held.outcome = (Phase.SERVED, answer.body)
            elif answer.status not in (400, 503) if answer else course.may_have_run or course.is_forwarded:
                held.outcome = (Phase.FAILED, b"")
            held.open = False
            writing = asyncio.ensure_future(self._settle(held))
            self._tasks.add(writing)
            writing.add_done_callback(self._tasks.discard)
        if answer.status == 200:
            # A retry that follows at once then finds the result, not a claim. Nothing hangs on it, so a slow
            # store may cost a little time of the answer's, and a refusal goes out at once.
            spare = (deadline - self._clock.now()) / 4
            await asyncio.wait((writing,), timeout=max(0.0, min(SETTLE_LIMIT, spare).total_seconds()))
        return answer

    async def _claim(self, ask: Ask) -> Said:
        for _ in range(ROUNDS):
            seen, known = self._watch, self._watch.count
            reply = await self._call(partial(self._store.claim, seen, ask))
            if not await self._sure(reply, seen, known):
                continue
            said = reply.said or Said(Verdict.UNSURE)
            if said.verdict is Verdict.GRANTED:
                self._known = max(self._known, said.token)
                self._held[ask.key] = Held(ask.key, self._granted(ask, reply, said))
            return said
        return Said(Verdict.UNSURE)

    async def _withdraw(self, ask: Ask) -> None:
        """A claim that nobody knows of would keep its key from retries, and in the end make it unknown. Asked
        for again, it finds itself by its nonce, and is released."""
        until, pause = self._clock.now() + ask.lease, 0.02
        while self._clock.now() < until:
            try:
                seen, known = self._watch, self._watch.count
                reply = await self._call(partial(self._store.claim, seen, ask))
                if await self._sure(reply, seen, known):
                    if reply.said and reply.said.verdict is Verdict.GRANTED:
                        self.counts["withdrawn"] += 1
                        await self._settle(Held(ask.key, self._granted(ask, reply, reply.said), open=False))
                    return
            except StoreError:
                await asyncio.sleep(pause)
                pause = min(0.5, 2 * pause)

    @staticmethod
    def _granted(ask: Ask, reply: Reply, said: Said) -> Record:
        ends = reply.now + ask.runs
        return Record(
            *(ask.fingerprint, ask.nonce, said.token, Phase.CLAIMED),
            *(reply.now + ask.lease, ends, ends + ask.kept),
        )

    async def _settle(self, held: Held) -> None:
        """Writes an outcome, or that there is none, again and again until the store has it."""
        until, pause = self._clock.now() + self._tier.window, 0.02
        while self._clock.now() < until:
            try:
                seen, known = self._watch, self._watch.count
                reply = await self._call(partial(self._write, seen, held))
                if await self._sure(reply, seen, known):
                    break
            except StoreError:
                await asyncio.sleep(pause)
                pause = min(0.5, 2 * pause)
        if held.outcome:  # remembered for as long as the store might lose it
            held.record = replace(held.record, phase=held.outcome[0], result=held.outcome[1])
            held.outcome = None
        elif self._held.get(held.key) is held:
            del self._held[held.key]

    def _write(self, seen: Watch, held: Held) -> Awaitable[Reply]:
        token = held.record.token
        if held.outcome:
            return self._store.settle(seen, held.key, token, *held.outcome)
        return self._store.release(seen, held.key, token)

    # ---- the store's history ----

    async def _call(self, step: Callable[[], Awaitable[Reply]]) -> Reply:
        now = self._clock.now()
        if not self._breaker.lets(now):
            raise NotTakenError("the store is given a rest")
        try:
            reply = await step()
        except NotTakenError:
            if self._breaker.circuit is not Circuit.CLOSED:
                self._breaker.failed(self._clock.now())
            raise  # it cost nobody a wait, and ends as suddenly as it began
        except StoreError:
            self._breaker.failed(self._clock.now())
            raise
        except asyncio.CancelledError:  # its caller's time was up first
            self._breaker.failed(self._clock.now())
            raise
        self._breaker.answered()
        if self._since is None:
            self._since = reply.now - (self._clock.now() - self._begun)
        return reply

    def _judged(self, reply: Reply, known: int) -> History:
        """By what was known when it was asked for: of two replies the later question's may come first, and
        the other is no older history for that."""
        watch = Watch(self._watch.generation, known)
        return History.BROKEN if reply.mark is None else watch.judge(reply.run_id, reply.mark)

    async def _sure(self, reply: Reply, seen: Watch, known: int) -> bool:
        """True: the reply is of the history that is known here, as it was when the step was sent (`seen`).
        If not, this dispatcher joins the new one, or has meanwhile: the step is to be made again."""
        if reply.mark and seen is self._watch and self._judged(reply, known) is History.SAME:
            overtaken = reply.mark.count < self._watch.count
            self._watch.saw(reply.mark)
            # A store that was put back while this was out looks the same, so it is asked again either way.
            return not overtaken
        async with self._joining:
            known = self._watch.count
            reply = await self._call(self._store.look)
            if reply.mark and self._judged(reply, known) is History.SAME:
                return False  # joined meanwhile by another request
            if self._judged(reply, known) is History.BROKEN:
                before = reply.mark.generation if reply.mark else ""
                log.warning("store went back in time", was=self._watch.generation, count=self._watch.count)
                self.counts["histories"] += 1
                generation, highest = secrets.token_hex(8), max(self._known, self._watch.count)
                reply = await self._call(lambda: self._store.begin(generation, highest, before, False))
            if reply.mark is None or reply.mark.run_id != reply.run_id:
                return False
            fresh = Watch()
            fresh.saw(reply.mark)
            assert self._since
            records = {held.key: self._record(held) for held in self._held.values()}
            member = Member(self._name, self._since)
            joined = await self._call(lambda: self._store.join(fresh, member, records))
            if joined.done and joined.mark:
                self._watch = fresh
                self._watch.saw(joined.mark)
                log.info("joined the store's history", generation=fresh.generation, claims=len(records))
        return False

    @staticmethod
    def _record(held: Held) -> Record:
        if held.outcome:
            return replace(held.record, phase=held.outcome[0], result=held.outcome[1])
        return held.record

    async def _ticks(self) -> None:
        """Renews what is out, notices a store that went back though nobody asks, and forgets what is old."""
        renewed = self._clock.now()
        while True:
            await asyncio.sleep(TICK.total_seconds())
            try:
                seen, known = self._watch, self._watch.count
                reply = await self._call(self._store.look)
                await self._sure(reply, seen, known)
                now = self._clock.now()
                if now - renewed >= self._terms.lease / 3:
                    renewed = now
                    for held in [held for held in self._held.values() if held.open]:
                        await self._renew(held)
                for held in [h for h in self._held.values() if not h.open and not h.outcome]:
                    if reply.now > held.record.last_end + self._tier.window:
                        self._held.pop(held.key, None)
            except StoreError as error:
                log.debug("store does not answer", why=str(error))
            except Exception:
                log.exception("ledger tick failed")

    async def _renew(self, held: Held) -> None:
        token, lease = held.record.token, self._terms.lease
        reply = await self._call(lambda: self._store.renew(self._watch, held.key, token, lease))
        if reply.done:
            until = min(reply.now + lease, held.record.last_end)
            held.record = replace(held.record, lease_until=until)

    def figures(self) -> Iterator[str]:
        for verdict in Verdict:
            yield f"ledger.{verdict.value}:{self.counts[verdict.value]}|c"
        yield f"ledger.unreachable:{self.counts['unreachable']}|c"
        yield f"ledger.withdrawn:{self.counts['withdrawn']}|c"
        yield f"ledger.histories:{self.counts['histories']}|c"
        yield f"ledger.open:{sum(held.open for held in self._held.values())}|g"
        yield f"ledger.circuit:{self._breaker.circuit.value}|g"


__all__ = ["Circuit", "Ledger", "Terms"]
