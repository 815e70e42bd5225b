"""The ledger of one dispatcher: claims a key before its request is sent and settles it before the response.

`Ledger.serve_once` wraps the processing of a keyed unsafe request. The ledger owns the store, renews the
leases of its claims and remembers them: when the store has gone back in time, it writes them again. Until all
dispatchers have done so, requests whose key the store does not know are rejected rather than run.
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

from rookwood.ledger.health import FIRST_PAUSE, Breaker, Circuit, claim_timeout
from rookwood.ledger.keys import InvalidKeyError, fingerprint, parse_key
from rookwood.ledger.life import ClaimRequest, ClaimResult, Phase, Record, Verdict
from rookwood.ledger.store import NotAppliedError, Reply, Store, StoreError, TrustPolicy
from rookwood.ledger.watch import History, KnownHistory, Member
from rookwood.net.clock import Clock
from rookwood.net.request import InboundRequest, RequestProgress, Response

log = structlog.stdlib.get_logger(__name__)

Run = Callable[[RequestProgress], Awaitable[Response]]
TICK = timedelta(milliseconds=100)  # interval between checks of the store's history, also without requests
SETTLE_LIMIT = timedelta(milliseconds=150)  # a result is delayed at most this long until the store has it
MAX_TASKS = 200  # at this many background tasks, uncertain claims are no longer withdrawn
CLAIM_ROUNDS = 3  # times that a claim is requested, with the history confirmed in between


@dataclass(frozen=True, slots=True)
class Terms:
    """Lease of a claim and retention of its record."""

    lease: timedelta = timedelta(seconds=2)
    kept: timedelta = timedelta(minutes=10)  # retention after the last possible end of the job, for retries


@dataclass(slots=True, eq=False)
class HeldClaim:
    """One claim of this dispatcher, kept for as long as the store might lose its record."""

    key: str
    record: Record
    is_open: bool = True  # the request is in progress: the lease is renewed
    outcome: tuple[Phase, bytes] | None = None  # known, but not yet written to the store


class Ledger:
    """Makes sure that a keyed unsafe request runs at most once among the dispatchers that share a store."""

    def __init__(
        self,
        name: str,
        store: Store,
        trust: TrustPolicy,
        terms: Terms,
        clock: Clock,
        claimed_classes: frozenset[str],
    ) -> None:
        self._name, self._store, self._trust, self._terms = name, store, trust, terms
        self._clock, self._claimed_classes = clock, claimed_classes
        self._known_history, self._breaker, self._random = KnownHistory(), Breaker(), random.Random()
        self._claims: dict[str, HeldClaim] = {}
        self._alive_since: datetime | None = None  # start of this process by the store's clock
        self._started_at = clock.now()
        self._highest_token = 0  # of all claims granted to this dispatcher
        self.counts: Counter[str] = Counter()
        self._join_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts the background task that watches the store and renews claims."""
        self._spawn(self._tick_forever())

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
        """Whether the request has a key and its class needs a claim."""
        return request.idempotency_key is not None and request.job_class in self._claimed_classes

    async def serve_once(self, request: InboundRequest, run: Run) -> Response:
        """Claims the key, runs the request, settles the claim and returns the response.

        Without a new claim the response is a replay of the first one, or says why the request was not run.
        """
        assert request.idempotency_key is not None
        try:
            key = parse_key(request.idempotency_key)
        except InvalidKeyError as error:
            return Response(400, f"{error}\n".encode())
        remaining = request.deadline - self._clock.now()
        digest = fingerprint(request.worker_request.target, request.worker_request.body)
        claim_request = ClaimRequest(
            key, digest, secrets.token_hex(8), self._terms.lease, remaining, self._terms.kept
        )
        try:
            async with asyncio.timeout(claim_timeout(remaining).total_seconds()):
                result = await self._claim(claim_request)
        except (StoreError, TimeoutError) as error:
            # Nothing has run. The store may have made the claim all the same: then it is withdrawn, or a
            # retry finds its outcome unknown.
            self.counts["unreachable"] += 1
            if not isinstance(error, NotAppliedError) and len(self._tasks) < MAX_TASKS:
                self._spawn(self._withdraw(claim_request))
            log.warning(
                "claim not obtained",
                request_id=request.worker_request.request_id,
                why=str(error) or "timed out",
            )
            # The wait is randomized so that clients rejected together do not all retry together.
            wait = max(FIRST_PAUSE, self._breaker.retry_after(self._clock.now())) * self._random.uniform(1, 3)
            return Response(503, b"the store does not answer\n", wait)
        self.counts[result.verdict.value] += 1
        match result.verdict:
            case Verdict.GRANTED:
                return await self._run_claimed(self._claims[key], run, request.deadline)
            case Verdict.KEPT:
                return Response(200, result.result, replayed=True)
            case Verdict.UNKNOWN:
                return Response(502, b"an earlier try may have run\n", replayed=True)
            case Verdict.MISMATCH:
                return Response(422, b"this Idempotency-Key was used for another request\n")
            case Verdict.BUSY:
                return Response(409, b"a try with this Idempotency-Key is in hand\n", result.wait)
            case Verdict.UNSURE:
                return Response(
                    503, b"the store may have lost this key\n", min(result.wait, timedelta(seconds=1))
                )
        raise AssertionError(result.verdict)

    async def _run_claimed(self, claim: HeldClaim, run: Run, deadline: datetime) -> Response:
        progress = RequestProgress()
        response: Response | None = None
        try:
            response = await run(progress)
        finally:
            # Runs also when the client has disconnected or an exception is raised: the store has to learn
            # whatever is known about the outcome.
            if response and response.status == 200:
                claim.outcome = (Phase.SERVED, response.body)
            elif (
                response.status not in (400, 503)
                if response
                else progress.may_have_run or progress.is_forwarded
            ):
                claim.outcome = (Phase.FAILED, b"")
            claim.is_open = False
            settling = asyncio.ensure_future(self._settle(claim))
            self._tasks.add(settling)
            settling.add_done_callback(self._tasks.discard)
        if response.status == 200:
            # An immediate retry then finds the result rather than an open claim. Correctness does not depend
            # on it, so a slow store delays the response only a little, and an error response not at all.
            limit = (deadline - self._clock.now()) / 4
            await asyncio.wait((settling,), timeout=max(0.0, min(SETTLE_LIMIT, limit).total_seconds()))
        return response

    async def _claim(self, claim_request: ClaimRequest) -> ClaimResult:
        for _ in range(CLAIM_ROUNDS):
            history, known_count = self._known_history, self._known_history.count
            reply = await self._call(partial(self._store.claim, history, claim_request))
            if not await self._confirm_history(reply, history, known_count):
                continue
            result = reply.said or ClaimResult(Verdict.UNSURE)
            if result.verdict is Verdict.GRANTED:
                self._highest_token = max(self._highest_token, result.token)
                self._claims[claim_request.key] = HeldClaim(
                    claim_request.key, self._granted_record(claim_request, reply, result)
                )
            return result
        return ClaimResult(Verdict.UNSURE)

    async def _withdraw(self, claim_request: ClaimRequest) -> None:
        """Releases a claim whose reply was lost.

        It would block its key for retries and leave the outcome unknown in the end. Requesting the claim
        again finds it by its nonce, and it can be released.
        """
        until, pause = self._clock.now() + claim_request.lease, 0.02
        while self._clock.now() < until:
            try:
                history, known_count = self._known_history, self._known_history.count
                reply = await self._call(partial(self._store.claim, history, claim_request))
                if await self._confirm_history(reply, history, known_count):
                    if reply.said and reply.said.verdict is Verdict.GRANTED:
                        self.counts["withdrawn"] += 1
                        await self._settle(
                            HeldClaim(
                                claim_request.key,
                                self._granted_record(claim_request, reply, reply.said),
                                is_open=False,
                            )
                        )
                    return
            except StoreError:
                await asyncio.sleep(pause)
                pause = min(0.5, 2 * pause)

    @staticmethod
    def _granted_record(claim_request: ClaimRequest, reply: Reply, result: ClaimResult) -> Record:
        last_end = reply.now + claim_request.runs
        return Record(
            *(claim_request.fingerprint, claim_request.nonce, result.token, Phase.CLAIMED),
            *(reply.now + claim_request.lease, last_end, last_end + claim_request.kept),
        )

    async def _settle(self, claim: HeldClaim) -> None:
        """Settles or releases a claim, retrying until the store has applied it or the window is over."""
        until, pause = self._clock.now() + self._trust.window, 0.02
        while self._clock.now() < until:
            try:
                history, known_count = self._known_history, self._known_history.count
                reply = await self._call(partial(self._write, history, claim))
                if await self._confirm_history(reply, history, known_count):
                    break
            except StoreError:
                await asyncio.sleep(pause)
                pause = min(0.5, 2 * pause)
        if claim.outcome:  # kept here for as long as the store might lose it
            claim.record = replace(claim.record, phase=claim.outcome[0], result=claim.outcome[1])
            claim.outcome = None
        elif self._claims.get(claim.key) is claim:
            del self._claims[claim.key]

    def _write(self, history: KnownHistory, claim: HeldClaim) -> Awaitable[Reply]:
        token = claim.record.token
        if claim.outcome:
            return self._store.settle(history, claim.key, token, *claim.outcome)
        return self._store.release(history, claim.key, token)

    # ---- the store's history ----

    async def _call(self, step: Callable[[], Awaitable[Reply]]) -> Reply:
        now = self._clock.now()
        if not self._breaker.allows_call(now):
            raise NotAppliedError("the circuit breaker is open")
        try:
            reply = await step()
        except NotAppliedError:
            if self._breaker.circuit is not Circuit.CLOSED:
                self._breaker.record_failure(self._clock.now())
            raise  # not counted while closed: no call waited in vain, and such failures end suddenly
        except StoreError:
            self._breaker.record_failure(self._clock.now())
            raise
        except asyncio.CancelledError:  # the caller's timeout came before the store's
            self._breaker.record_failure(self._clock.now())
            raise
        self._breaker.record_success()
        if self._alive_since is None:
            self._alive_since = reply.now - (self._clock.now() - self._started_at)
        return reply

    def _compare_history(self, reply: Reply, known_count: int) -> History:
        """Compares a reply with the history as it was known when the step was sent.

        `known_count` is the claim count at that time. Replies may overtake one another, and a reply that was
        overtaken has a lower count without belonging to an older history.
        """
        known = KnownHistory(self._known_history.generation, known_count)
        return History.BROKEN if reply.mark is None else known.compare(reply.run_id, reply.mark)

    async def _confirm_history(self, reply: Reply, history: KnownHistory, known_count: int) -> bool:
        """Whether the reply belongs to the known history, and that is still the one of the step (`history`).

        Otherwise this dispatcher joins the store's new history, unless it already has, and the caller has to
        repeat the step.
        """
        if (
            reply.mark
            and history is self._known_history
            and self._compare_history(reply, known_count) is History.SAME
        ):
            overtaken = reply.mark.count < self._known_history.count
            self._known_history.update(reply.mark)
            # An overtaken reply looks like one of a store that went back meanwhile: the step is repeated.
            return not overtaken
        async with self._join_lock:
            known_count = self._known_history.count
            reply = await self._call(self._store.read_history)
            if reply.mark and self._compare_history(reply, known_count) is History.SAME:
                return False  # another task has joined the history meanwhile
            if self._compare_history(reply, known_count) is History.BROKEN:
                old_generation = reply.mark.generation if reply.mark else ""
                log.warning(
                    "store went back in time",
                    was=self._known_history.generation,
                    count=self._known_history.count,
                )
                self.counts["histories"] += 1
                generation, highest = (
                    secrets.token_hex(8),
                    max(self._highest_token, self._known_history.count),
                )
                reply = await self._call(
                    lambda: self._store.begin_history(generation, highest, old_generation, False)
                )
            if reply.mark is None or reply.mark.run_id != reply.run_id:
                return False
            new_history = KnownHistory()
            new_history.update(reply.mark)
            assert self._alive_since
            records = {claim.key: self._current_record(claim) for claim in self._claims.values()}
            member = Member(self._name, self._alive_since)
            joined = await self._call(lambda: self._store.join_history(new_history, member, records))
            if joined.done and joined.mark:
                self._known_history = new_history
                self._known_history.update(joined.mark)
                log.info("joined the store's history", generation=new_history.generation, claims=len(records))
        return False

    @staticmethod
    def _current_record(claim: HeldClaim) -> Record:
        if claim.outcome:
            return replace(claim.record, phase=claim.outcome[0], result=claim.outcome[1])
        return claim.record

    async def _tick_forever(self) -> None:
        """Renews open claims, detects a store that went back even without requests, forgets old claims."""
        renewed = self._clock.now()
        while True:
            await asyncio.sleep(TICK.total_seconds())
            try:
                history, known_count = self._known_history, self._known_history.count
                reply = await self._call(self._store.read_history)
                await self._confirm_history(reply, history, known_count)
                now = self._clock.now()
                if now - renewed >= self._terms.lease / 3:
                    renewed = now
                    for claim in [claim for claim in self._claims.values() if claim.is_open]:
                        await self._renew(claim)
                for claim in [h for h in self._claims.values() if not h.is_open and not h.outcome]:
                    if reply.now > claim.record.last_end + self._trust.window:
                        self._claims.pop(claim.key, None)
            except StoreError as error:
                log.debug("store does not respond", why=str(error))
            except Exception:
                log.exception("ledger tick failed")

    async def _renew(self, claim: HeldClaim) -> None:
        token, lease = claim.record.token, self._terms.lease
        reply = await self._call(lambda: self._store.renew(self._known_history, claim.key, token, lease))
        if reply.done:
            until = min(reply.now + lease, claim.record.last_end)
            claim.record = replace(claim.record, lease_until=until)

    def stats_lines(self) -> Iterator[str]:
        """The ledger's lines of /ops/stats."""
        for verdict in Verdict:
            yield f"ledger.{verdict.value}:{self.counts[verdict.value]}|c"
        yield f"ledger.unreachable:{self.counts['unreachable']}|c"
        yield f"ledger.withdrawn:{self.counts['withdrawn']}|c"
        yield f"ledger.histories:{self.counts['histories']}|c"
        yield f"ledger.open:{sum(held.is_open for held in self._claims.values())}|g"
        yield f"ledger.circuit:{self._breaker.circuit.value}|g"


__all__ = ["Circuit", "Ledger", "Terms"]
