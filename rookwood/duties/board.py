"""The leases of all duties at one member: its votes, its claims, and when it requests votes.

It takes messages and returns messages; it does no I/O and reads no clock.
"""

from __future__ import annotations

import functools
import hashlib
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from rookwood.duties import lease
from rookwood.duties.lease import Claim, Release, Rule, Token, Vote, Voter, VoteRequest

Message = VoteRequest | Vote | Release
RENEWALS_PER_LEASE = 3  # vote requests within one lease, so that two may be lost
REQUEST_TIMEOUT = 0.25  # of a lease: without a majority by then, the votes received are released
TURN_STEP = 0.05  # of a lease, between the members' first requests once a duty is free
RESEND_INTERVAL = 0.08  # of a lease, until a holder sends its request again to members that have not voted


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message about one duty. `to` names its receiver; None means every other member."""

    duty: str
    message: Message
    to: str | None = None


@functools.lru_cache(1 << 12)
def turn_key(duty: str, name: str) -> bytes:
    """Sort key of a member for one duty: every member computes the same order, and it differs by duty."""
    return hashlib.blake2b(f"{duty} {name}".encode()).digest()


class LeaseManager:
    """Runs the leases of all duties at one member.

    A member requests votes once the lease that it granted to another member has expired, after a delay given
    by its position in the order for that duty. The order differs by duty, which spreads the duties over the
    members; members later in the order find the duty already held. A live holder is never disturbed, since
    a rejected request changes nothing at a voter.
    """

    def __init__(
        self, me: str, incarnation: int, rule: Rule, duties: Iterable[str], now: datetime, seed: int
    ) -> None:
        if me not in rule.members:
            raise ValueError(f"members: {me!r} is not one of them")
        self.me, self.rule, self._random = me, rule, random.Random(seed)
        self._voters: dict[str, Voter] = {duty: lease.initial_voter(now, rule) for duty in duties}
        self._claims = {duty: Claim(me, incarnation) for duty in self._voters}
        self._request_at = {
            duty: now + rule.startup_silence + self._turn_delay(duty) for duty in self._voters
        }
        # The members that rejected the last request.
        self._rejections: dict[str, set[str]] = {duty: set() for duty in self._voters}
        self._failed_requests = dict.fromkeys(self._voters, 0)  # consecutive requests without a majority
        self._resend_at: dict[str, datetime] = {}
        self._wanted, self._stepped_down_until = set(self._voters), dict[str, datetime]()
        # False: this member requests no votes and casts none, since its list may not be valid yet.
        self.is_participating = True
        self.is_shutting_down = False

    @property
    def duties(self) -> tuple[str, ...]:
        return tuple(self._voters)

    def is_silent(self, now: datetime) -> bool:
        """Whether this member does not vote, since it has just started or does not participate."""
        return not self.is_participating or any(now < voter.silent_until for voter in self._voters.values())

    def floor(self, now: datetime) -> int:
        """The lowest list floor over all duties (`change.py`)."""
        return min(
            (lease.floor(v, now, self.rule) for v in self._voters.values()), default=self.rule.list_number
        )

    def set_rule(self, rule: Rule) -> None:
        """Applies the next list of members, when `change.RosterChange` permits. Votes and claims continue."""
        self.rule = rule

    def set_wanted(self, duty: str, is_wanted: bool, now: datetime) -> list[Envelope]:
        """Sets whether this member seeks the duty. Otherwise it releases it, but still votes."""
        if is_wanted == (duty in self._wanted):
            return []
        if is_wanted:
            self._wanted.add(duty)
            self._request_at[duty] = max(self._request_at[duty], now)
            return []
        self._wanted.discard(duty)
        return list(self._release(duty, now))

    def step_down(self, duty: str, now: datetime) -> list[Envelope]:
        """Releases the duty and requests it again only after two leases, so that another can get it."""
        envelopes = list(self._release(duty, now))
        self._stepped_down_until[duty] = self._request_at[duty] = now + 2 * self.rule.length
        return envelopes

    def remaining(self, duty: str, now: datetime) -> timedelta:
        """Time left of the lease that is held here or granted to another member."""
        until = self._claims[duty].held_until if self.token(duty, now) else self._voters[duty].granted_until
        return max(timedelta(0), until - now) if until else timedelta(0)

    def _turn_delay(self, duty: str) -> timedelta:
        previous = sum(self._precedes(duty, name) for name in self.rule.members)
        return self.rule.length * TURN_STEP * (previous + self._random.random() / 2)

    def _precedes(self, duty: str, name: str) -> bool:
        """Whether the named member comes before this one in the order for the duty."""
        return turn_key(duty, name) < turn_key(duty, self.me)

    def token(self, duty: str, now: datetime) -> Token | None:
        """The token to act with, to be read right before each act. None: the duty is not held here now."""
        claim = self._claims[duty]
        return claim.token if claim.holds(now) else None

    def holder(self, duty: str, now: datetime) -> str:
        """The holder as known here, by the own claim or else by the vote granted; empty if none is known."""
        voter = self._voters[duty]
        if self.token(duty, now):
            return self.me
        return (
            voter.granted_request.token.holder
            if voter.granted_request and voter.granted_until and now < voter.granted_until
            else ""
        )

    def term(self, duty: str) -> int:
        """The highest term of the duty known here."""
        return max(self._claims[duty].term, self._voters[duty].term)

    def tick(self, now: datetime) -> list[Envelope]:
        """Returns the requests, renewals and releases that are due now."""
        envelopes = list[Envelope]()
        for duty, claim in list(self._claims.items()):
            if self.is_shutting_down or not self.is_participating:
                break
            if duty not in self._wanted:
                continue
            if claim.holds(now):
                if now >= self._request_at[duty]:
                    # Voters that know a higher term reject a lower one.
                    if claim.token and claim.term > claim.token.term:
                        self._claims[duty] = lease.raise_term(claim, claim.term, now)
                    envelopes += self._request_votes(duty, now)
                elif claim.requested_at and claim.held_until != claim.requested_at + self.rule.holder_length:
                    envelopes += self._resend(duty, claim, now)
            elif claim.requested_at:
                if now - claim.requested_at >= self.rule.length * REQUEST_TIMEOUT:
                    envelopes += self._abandon_request(duty, now)
            elif now >= self._request_at[duty]:
                if self.holder(duty, now):
                    until = self._voters[duty].granted_until
                    self._request_at[duty] = (until or now) + self._turn_delay(duty)
                else:
                    envelopes += self._request_votes(duty, now)
        return envelopes

    def _request_votes(self, duty: str, now: datetime) -> list[Envelope]:
        # The term must exceed the one of the own vote: the others know that one too and reject a lower one.
        known = replace(self._claims[duty], term=self.term(duty))
        claim, request = lease.request_votes(known, now, self.rule.list_number)
        self._voters[duty], vote = lease.answer_request(self._voters[duty], self.me, request, now, self.rule)
        self._claims[duty] = lease.count_vote(claim, vote, self.rule) if vote else claim
        self._request_at[duty] = now + self.rule.holder_length / RENEWALS_PER_LEASE
        self._resend_at[duty] = now + self.rule.length * RESEND_INTERVAL
        self._rejections[duty].clear()
        return [Envelope(duty, request)]

    def _resend(self, duty: str, claim: Claim, now: datetime) -> Iterator[Envelope]:
        """Sends the same request again. The lease still counts from when it was first sent."""
        if claim.token and now >= self._resend_at[duty]:
            self._resend_at[duty] = now + self.rule.length * RESEND_INTERVAL
            request = VoteRequest(claim.token, claim.number, self.rule.list_number, is_renewal=True)
            for name in self.rule.members:
                if name not in claim.votes and name != self.me:
                    yield Envelope(duty, request, name)

    def _release(self, duty: str, now: datetime) -> Iterator[Envelope]:
        self._claims[duty], release = lease.give_up(self._claims[duty])
        if release:
            self._voters[duty] = lease.apply_release(self._voters[duty], release)
            yield Envelope(duty, release)

    def _abandon_request(self, duty: str, now: datetime) -> list[Envelope]:
        """Releases the votes received. A rival may hold the others, so the backoff is random and grows."""
        self._failed_requests[duty] += 1
        backoff = (
            self.rule.length * TURN_STEP * 2 ** min(self._failed_requests[duty], 3) * self._random.random()
        )
        self._request_at[duty] = now + self._turn_delay(duty) + backoff
        return list(self._release(duty, now))

    def handle_message(self, sender: str, envelope: Envelope, now: datetime) -> list[Envelope]:
        """Handles a message from a member and returns the messages to send.

        A sender may speak only for itself: messages in another member's name, or about a duty that is
        unknown here, are ignored.
        """
        duty, message = envelope.duty, envelope.message
        if duty not in self._voters or sender not in self.rule.members:
            return []
        match message:
            case VoteRequest(token) if token.holder == sender and self.is_participating:
                envelopes = self._handle_rival_request(duty, message, now) if sender != self.me else []
                self._voters[duty], vote = lease.answer_request(
                    self._voters[duty], self.me, message, now, self.rule
                )
                return [*envelopes, Envelope(duty, vote, sender)] if vote else envelopes
            case Vote(voter, token=token) if voter == sender and token.holder == self.me:
                claim = self._claims[duty] = lease.count_vote(self._claims[duty], message, self.rule)
                if claim.holds(now):
                    self._failed_requests[duty] = 0
                elif (
                    claim.requested_at
                    and (message.number, token) == (claim.number, claim.token)
                    and not message.is_granted
                ):
                    self._rejections[duty].add(sender)
                    if len(self.rule.members) - len(self._rejections[duty]) < self.rule.majority:
                        # No majority can be reached: some voters did not know yet that the duty is free.
                        return self._abandon_request(duty, now)
            case Release(token) if token.holder == sender:
                previous, self._voters[duty] = (
                    self._voters[duty],
                    lease.apply_release(self._voters[duty], message),
                )
                if previous != self._voters[duty] and not self._claims[duty].requested_at:
                    self._request_at[duty] = max(
                        now + self._turn_delay(duty), self._stepped_down_until.get(duty, now)
                    )
        return []

    def _handle_rival_request(self, duty: str, request: VoteRequest, now: datetime) -> list[Envelope]:
        """Handles another member's request for a duty that this one holds or has requested."""
        claim, token = self._claims[duty], request.token
        if claim.holds(now):
            # The rival has granted itself that term and rejects a lower one: it would keep requesting until
            # it sees the holder under a higher term, so renew with the term raised.
            if token.term > claim.term:
                self._claims[duty], self._request_at[duty] = replace(claim, term=token.term), now
        elif claim.requested_at and (request.is_renewal or self._precedes(duty, token.holder)):
            # A holder never yields to a request: both would raise their terms in turn until its lease ends.
            self._request_at[duty] = now + self.rule.length * REQUEST_TIMEOUT + self._turn_delay(duty)
            return list(self._release(duty, now))  # split votes would give neither a majority
        elif claim.requested_at and claim.token and token.term >= claim.token.term:
            self._claims[duty] = replace(claim, term=max(claim.term, token.term))
            # With a higher term, so that the rival yields to this member and may then vote for it.
            return self._request_votes(duty, now)
        return []

    def raise_term(self, duty: str, seen: int, now: datetime) -> None:
        """A receiver has seen the term `seen`, not below the own: the holder continues with a higher one."""
        self._claims[duty] = lease.raise_term(self._claims[duty], seen, now)
        self._request_at[duty] = now

    def begin_shutdown(self, now: datetime) -> list[Envelope]:
        """Releases everything held, so that others can take it at once, and requests nothing any more."""
        self.is_shutting_down = True
        return [envelope for duty in self._claims for envelope in self._release(duty, now)]
