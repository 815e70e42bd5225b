"""Who holds a duty: leases granted by a majority of members that have no disk. No I/O and no clock of its
own.

After PaxosLease (Trencseni, Gazso, Reinhardt, 2012) and the leader leases of Raft's dissertation, with one
round: a voter grants its vote for `length`, to one member at a time, and says no while that runs,
**changing nothing** by a no. Two majorities share a voter, so two leases never run at once. Three things
make that hold:

- The holder counts from when it *asked*, a voter from when it *granted*, and the holder's `held` is shorter
  by what two clocks may drift apart meanwhile. Only monotonic time counts; clocks need not agree on what it
  is.
- A voter that has started has forgotten what it granted. It says nothing until all that may have run out.
- A question is numbered. One that comes late or twice finds its number used, and extends nothing.

A lease does not stop an act that is on its way, or a holder that is stopped between its check and its act.
So each act carries its **token**, and a receiver that can check it refuses an older one. Voters that forget
may hand out a term that was used before: so a receiver is *opened* first, and opening is refused below what
it has seen. The holder then takes a higher term (`bumped`), and the older one's acts are refused from there
on, late as they may be.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta


@dataclass(frozen=True, slots=True, order=True)
class Token:
    """What an act carries. Receivers compare `term` alone: two holders never share one at a receiver."""

    term: int
    holder: str
    life: int  # of the holder's process


@dataclass(frozen=True, slots=True)
class Rule:
    """What all members must agree on."""

    members: tuple[str, ...]
    length: timedelta  # of a vote, as its voter counts
    drift: float = 0.01  # how much faster one clock may run than another
    list: int = 0  # the number of this list of members (`change.py`)

    def __post_init__(self) -> None:
        if not self.members or len(set(self.members)) < len(self.members):
            raise ValueError("members: none, or one twice")
        if self.length <= timedelta(0) or not 0 <= self.drift < 0.5:
            raise ValueError("length: not over 0, or drift: not from 0 to 0.5")

    @property
    def majority(self) -> int:
        return len(self.members) // 2 + 1

    @property
    def held(self) -> timedelta:
        """So long the holder may act, counted from its question."""
        return self.length * (1 - self.drift) / (1 + self.drift)

    @property
    def mute(self) -> timedelta:
        """So long a member that has started says nothing."""
        return self.length * (1 + self.drift) / (1 - self.drift)


@dataclass(frozen=True, slots=True)
class Ask:
    """A member asks for a vote, or for its vote to go on."""

    token: Token
    number: int  # counts the questions of this life
    list: int = 0  # by which the holder counts a majority
    holds: bool = field(default=False, compare=False)  # it holds the duty, by its own clock: a renewal


@dataclass(frozen=True, slots=True)
class Vote:
    """The answer to one question."""

    voter: str
    number: int
    token: Token  # of the question
    yes: bool
    term: int  # the highest that the voter has heard of


@dataclass(frozen=True, slots=True)
class Release:
    """The holder needs it no more; of one question and all before it."""

    token: Token
    number: int


@dataclass(frozen=True, slots=True)
class Voter:
    """What one member has granted, in memory alone."""

    mute_until: datetime
    term: int = 0
    granted: Ask | None = None
    until: datetime | None = None
    # The last vote by an older list than the one above. Its holder may count on it although it asked again.
    older: Ask | None = None
    older_until: datetime | None = None


def started(now: datetime, rule: Rule) -> Voter:
    return Voter(now + rule.mute)


def asked(voter: Voter, me: str, ask: Ask, now: datetime, rule: Rule) -> tuple[Voter, Vote | None]:
    """None: it says nothing, since it may have promised something that it does not know of."""
    if now < voter.mute_until:
        return voter, None
    token, last = ask.token, voter.granted
    no = Vote(me, ask.number, token, False, voter.term)
    runs = voter.until is not None and now < voter.until
    if ask == last and runs:  # the answer was lost: the vote is what it was, and runs no longer
        return voter, replace(no, yes=True)
    if last and (token.holder, token.life) == (last.token.holder, last.token.life):
        fits = ask.number > last.number and token.term >= last.token.term
        # A holder may go on by the list before this one, and nobody becomes holder by it any more.
        fits = fits and ask.list >= rule.list - runs
    else:
        fits = not runs and token.term > voter.term and ask.list >= rule.list
    if not fits:
        return voter, no
    term = max(voter.term, token.term)
    if last and runs and last.list < ask.list:
        voter = replace(voter, older=last, older_until=voter.until)
    return replace(voter, term=term, granted=ask, until=now + rule.length), replace(no, yes=True, term=term)


def floor(voter: Voter, now: datetime, rule: Rule) -> int:
    """It has no vote running for a holder by an older list than this, and will never have one again."""
    votes = ((voter.granted, voter.until), (voter.older, voter.older_until))
    return min([rule.list, *(ask.list for ask, until in votes if ask and until and now < until)])


def released(voter: Voter, release: Release) -> Voter:
    """One that comes late finds a newer question granted, and changes nothing."""
    if voter.granted is None or voter.granted.token != release.token or release.number < voter.granted.number:
        return voter
    return replace(voter, granted=replace(voter.granted, number=release.number), until=None)


@dataclass(frozen=True, slots=True)
class Claim:
    """One member's side: what it has asked for, and what it holds."""

    me: str
    life: int
    term: int = 0  # the highest that it has heard of or used
    number: int = 0  # of its last question
    asked_at: datetime | None = None  # of that question; None: nothing is asked, or it is decided
    votes: frozenset[str] = frozenset()
    token: Token | None = None  # with which it asked, and holds
    until: datetime | None = None

    def holds(self, now: datetime) -> bool:
        return self.until is not None and now < self.until


def ask(claim: Claim, now: datetime, list_: int = 0) -> tuple[Claim, Ask]:
    """For all members, itself among them. While it holds, the term stays and the lease is prolonged."""
    token = claim.token if claim.holds(now) else None
    token = token or Token(claim.term + 1, claim.me, claim.life)
    number = claim.number + 1
    fresh = replace(
        claim, term=token.term, number=number, asked_at=now, votes=frozenset(), token=token,
        until=claim.until if claim.holds(now) else None,
    )  # fmt: skip
    return fresh, Ask(token, number, list_, claim.holds(now))


def counted(claim: Claim, vote: Vote, rule: Rule) -> Claim:
    """A vote for another question than the last, or of an unknown voter, counts for nothing but its term."""
    claim = replace(claim, term=max(claim.term, vote.term))
    fits = (vote.number, vote.token) == (claim.number, claim.token) and vote.voter in rule.members
    if not (fits and vote.yes and claim.asked_at):
        return claim
    votes = claim.votes | {vote.voter}
    if len(votes) < rule.majority:
        return replace(claim, votes=votes)
    return replace(claim, votes=votes, until=claim.asked_at + rule.held)


def bumped(claim: Claim, seen: int, now: datetime) -> Claim:
    """A receiver has seen a higher term: the holder goes on under one above it, from its next question on."""
    if not claim.holds(now) or claim.token is None or seen < claim.token.term:
        return replace(claim, term=max(claim.term, seen))
    token = replace(claim.token, term=max(claim.term, seen) + 1)
    return replace(claim, term=token.term, token=token)


def given_up(claim: Claim) -> tuple[Claim, Release | None]:
    """At once: it must not act after this. Voters may grant the duty to the next one when they hear of it."""
    release = Release(claim.token, claim.number) if claim.token else None
    return replace(claim, asked_at=None, votes=frozenset(), token=None, until=None), release


@dataclass(frozen=True, slots=True)
class Gate:
    """What a receiver of acts keeps: the token that it has been opened for."""

    open_for: Token | None = None

    @property
    def seen(self) -> int:
        return self.open_for.term if self.open_for else 0


def opened(gate: Gate, token: Token) -> tuple[Gate, bool]:
    """False: the receiver has seen this term or a higher one, and the holder has to take one above `seen`."""
    if token == gate.open_for:
        return gate, True
    return (Gate(token), True) if token.term > gate.seen else (gate, False)


def accepts(gate: Gate, token: Token) -> bool:
    return token == gate.open_for
