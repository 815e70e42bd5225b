"""Leases of a duty, granted by a majority of members that store nothing on disk. No I/O and no clock.

The protocol follows PaxosLease (Trencseni, Gazso, Reinhardt, 2012) and the leader leases of Raft's
dissertation, with a single round. A voter grants its vote for `length` to one member at a time and rejects
all others while that vote runs; a rejection **changes nothing** at the voter. Two majorities share a voter,
so two leases never run at once. Three rules ensure this:

- The holder counts its lease from when it *sent the request*, a voter from when it *granted the vote*, and
  the holder's `holder_length` is shorter by what two clocks may drift apart meanwhile. Only elapsed monotonic
  time counts; the clocks need not agree on the time.
- A voter that has restarted has forgotten its votes. It stays silent until all of them must have expired.
- Requests are numbered. A late or duplicate request has a number already used and extends nothing.

A lease cannot stop an act that is already in transit, nor a holder that is suspended between its check and
its act. So each act carries a fencing **token**, and a receiver that can check it rejects an older one.
Voters that have forgotten their votes may grant a term that was used before. So a holder first *opens* the
receiver's gate, which fails unless its term is above the one seen there. On failure the holder moves to
a higher term (`raise_term`); once it has opened the gate, acts with older tokens are rejected however late
they arrive.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """Fencing token of an act. A gate opens by `term` alone, so two holders never share one at a receiver."""

    term: int
    holder: str
    incarnation: int  # of the holder's process, drawn anew at each start


@dataclass(frozen=True, slots=True)
class Rule:
    """Lease parameters on which all members must agree."""

    members: tuple[str, ...]
    length: timedelta  # of a vote, by its voter's clock
    drift: float = 0.01  # how much faster one clock may run than another
    list_number: int = 0  # the number of this list of members (`change.py`)

    def __post_init__(self) -> None:
        if not self.members or len(set(self.members)) < len(self.members):
            raise ValueError("members: must be at least one, without duplicates")
        if self.length <= timedelta(0) or not 0 <= self.drift < 0.5:
            raise ValueError("length: must be above 0, or drift: must be at least 0 and below 0.5")

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    @property
    def holder_length(self) -> timedelta:
        """How long the holder may act, counted from its request."""
        return self.length * (1 - self.drift) / (1 + self.drift)

    @property
    def startup_silence(self) -> timedelta:
        """How long a member does not vote after it has started."""
        return self.length * (1 + self.drift) / (1 - self.drift)


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A member requests a vote, or the renewal of one."""

    token: Token
    number: int  # counts the requests of this incarnation
    list_number: int = 0  # the list of members by which the sender counts a majority
    is_renewal: bool = field(default=False, compare=False)  # the sender holds the duty by its own clock


@dataclass(frozen=True, slots=True)
class Vote:
    """A voter's response to one request."""

    voter: str
    number: int
    token: Token  # of the request
    is_granted: bool
    term: int  # the highest that the voter knows


@dataclass(frozen=True, slots=True)
class Release:
    """The holder releases the duty: the votes for the request `number` and all requests before it."""

    token: Token
    number: int


@dataclass(frozen=True, slots=True)
class Voter:
    """The votes that one member has granted, kept in memory only."""

    silent_until: datetime
    term: int = 0
    granted_request: VoteRequest | None = None
    granted_until: datetime | None = None
    # The last vote for a request by an older list than `granted_request`. The holder may still rely on that
    # vote although it has requested a renewal by the newer list.
    older_request: VoteRequest | None = None
    older_until: datetime | None = None


def initial_voter(now: datetime, rule: Rule) -> Voter:
    """A voter that has just started, and stays silent at first."""
    return Voter(now + rule.startup_silence)


def answer_request(
    voter: Voter, me: str, request: VoteRequest, now: datetime, rule: Rule
) -> tuple[Voter, Vote | None]:
    """Grants or rejects a request. None while silent: an earlier incarnation may have voted otherwise."""
    if now < voter.silent_until:
        return voter, None
    token, last = request.token, voter.granted_request
    rejection = Vote(me, request.number, token, False, voter.term)
    is_running = voter.granted_until is not None and now < voter.granted_until
    if request == last and is_running:  # the response was lost: repeat the vote without extending it
        return voter, replace(rejection, is_granted=True)
    if last and (token.holder, token.incarnation) == (last.token.holder, last.token.incarnation):
        is_valid = request.number > last.number and token.term >= last.token.term
        # A holder may renew by the previous list, but nobody becomes holder by it any more.
        is_valid = is_valid and request.list_number >= rule.list_number - is_running
    else:
        is_valid = not is_running and token.term > voter.term and request.list_number >= rule.list_number
    if not is_valid:
        return voter, rejection
    term = max(voter.term, token.term)
    if last and is_running and last.list_number < request.list_number:
        voter = replace(voter, older_request=last, older_until=voter.granted_until)
    return replace(voter, term=term, granted_request=request, granted_until=now + rule.length), replace(
        rejection, is_granted=True, term=term
    )


def floor(voter: Voter, now: datetime, rule: Rule) -> int:
    """The oldest list that a vote still runs for. No vote runs for an older list, and none will again."""
    votes = ((voter.granted_request, voter.granted_until), (voter.older_request, voter.older_until))
    return min(
        [
            rule.list_number,
            *(request.list_number for request, until in votes if request and until and now < until),
        ]
    )


def apply_release(voter: Voter, release: Release) -> Voter:
    """Ends the vote that is released. A late release of a vote renewed since changes nothing."""
    if (
        voter.granted_request is None
        or voter.granted_request.token != release.token
        or release.number < voter.granted_request.number
    ):
        return voter
    return replace(
        voter, granted_request=replace(voter.granted_request, number=release.number), granted_until=None
    )


@dataclass(frozen=True, slots=True)
class Claim:
    """The requester's side: what one member has requested and holds."""

    me: str
    incarnation: int
    term: int = 0  # the highest that it knows or has used
    number: int = 0  # of its last request
    requested_at: datetime | None = None  # when it was first sent; None: none since the last release
    votes: frozenset[str] = frozenset()
    token: Token | None = None  # of the request, and of the lease once held
    held_until: datetime | None = None

    def holds(self, now: datetime) -> bool:
        return self.held_until is not None and now < self.held_until


def request_votes(claim: Claim, now: datetime, list_: int = 0) -> tuple[Claim, VoteRequest]:
    """Starts a request to all members, itself included. A holder keeps its token and renews its lease."""
    token = claim.token if claim.holds(now) else None
    token = token or Token(claim.term + 1, claim.me, claim.incarnation)
    number = claim.number + 1
    renewed = replace(
        claim, term=token.term, number=number, requested_at=now, votes=frozenset(), token=token,
        held_until=claim.held_until if claim.holds(now) else None,
    )  # fmt: skip
    return renewed, VoteRequest(token, number, list_, claim.holds(now))


def count_vote(claim: Claim, vote: Vote, rule: Rule) -> Claim:
    """Counts a vote. A vote for another request than the last, or by a non-member, only updates the term."""
    claim = replace(claim, term=max(claim.term, vote.term))
    is_valid = (vote.number, vote.token) == (claim.number, claim.token) and vote.voter in rule.members
    if not (is_valid and vote.is_granted and claim.requested_at):
        return claim
    votes = claim.votes | {vote.voter}
    if len(votes) < rule.majority:
        return replace(claim, votes=votes)
    return replace(claim, votes=votes, held_until=claim.requested_at + rule.holder_length)


def raise_term(claim: Claim, seen: int, now: datetime) -> Claim:
    """Records a term that a receiver has seen. A holder keeps its lease, with a token of a higher term."""
    if not claim.holds(now) or claim.token is None or seen < claim.token.term:
        return replace(claim, term=max(claim.term, seen))
    token = replace(claim.token, term=max(claim.term, seen) + 1)
    return replace(claim, term=token.term, token=token)


def give_up(claim: Claim) -> tuple[Claim, Release | None]:
    """Ends the claim: the member must not act after this. The release lets voters grant the duty anew."""
    release = Release(claim.token, claim.number) if claim.token else None
    return replace(claim, requested_at=None, votes=frozenset(), token=None, held_until=None), release


@dataclass(frozen=True, slots=True)
class Gate:
    """What a receiver of acts stores: the token with which it was last opened."""

    open_for: Token | None = None

    @property
    def seen_term(self) -> int:
        return self.open_for.term if self.open_for else 0


def open_gate(gate: Gate, token: Token) -> tuple[Gate, bool]:
    """Opens the gate for a token. False: its term is not above `seen_term`, so the holder must raise it."""
    if token == gate.open_for:
        return gate, True
    return (Gate(token), True) if token.term > gate.seen_term else (gate, False)


def accepts(gate: Gate, token: Token) -> bool:
    """Whether an act with this token is accepted: only the token that opened the gate is."""
    return token == gate.open_for
