"""All duties at one member: its votes, its claims, and when it asks. Messages in and out; no I/O or clock."""

from __future__ import annotations

import functools
import hashlib
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime, timedelta

from rookwood.duties import lease
from rookwood.duties.lease import Ask, Claim, Release, Rule, Token, Vote, Voter

Message = Ask | Vote | Release
RENEWALS = 3  # questions within one lease: two may be lost
ANSWER = 0.25  # of a lease: by then a majority has answered, or what was got is given back
STEP = 0.05  # of a lease, between the members that may ask once a duty is free
AGAIN = 0.08  # of a lease, until who has not answered a holder's question is asked it once more


@dataclass(frozen=True, slots=True)
class Letter:
    """`to` None: to every other member."""

    duty: str
    what: Message
    to: str | None = None


@functools.lru_cache(1 << 12)
def turn_of(duty: str, name: str) -> bytes:
    """The same at every member, and another for each duty."""
    return hashlib.blake2b(f"{duty} {name}".encode()).digest()


class Board:
    """A member asks once the lease that it has granted to another has run out, in its turn: turns differ
    from duty to duty, so that these spread, and whoever is after the first finds the duty taken. A holder
    that lives is never disturbed: a question that is refused changes nothing at a voter."""

    def __init__(
        self, me: str, life: int, rule: Rule, duties: Iterable[str], now: datetime, seed: int
    ) -> None:
        if me not in rule.members:
            raise ValueError(f"members: {me!r} is none of them")
        self.me, self.rule, self._random = me, rule, random.Random(seed)
        self._voters: dict[str, Voter] = {duty: lease.started(now, rule) for duty in duties}
        self._claims = {duty: Claim(me, life) for duty in self._voters}
        self._ask_at = {duty: now + rule.mute + self._turn(duty) for duty in self._voters}
        self._noes: dict[str, set[str]] = {duty: set() for duty in self._voters}  # to its last question
        self._lost = dict.fromkeys(self._voters, 0)  # questions in a row that did not win
        self._again_at: dict[str, datetime] = {}
        self._wanted, self._rests = set(self._voters), dict[str, datetime]()
        self.takes_part = True  # asks and votes; else it is silent, since its list may not count yet
        self.leaving = False

    @property
    def duties(self) -> tuple[str, ...]:
        return tuple(self._voters)

    def muted(self, now: datetime) -> bool:
        return not self.takes_part or any(now < voter.mute_until for voter in self._voters.values())

    def floor(self, now: datetime) -> int:
        return min((lease.floor(v, now, self.rule) for v in self._voters.values()), default=self.rule.list)

    def listed(self, rule: Rule) -> None:
        """The next list of members; `change.Change` knows when. Votes and claims go on."""
        self.rule = rule

    def want(self, duty: str, yes: bool, now: datetime) -> list[Letter]:
        """Who does not want it gives it up, and goes on to vote for others."""
        if yes == (duty in self._wanted):
            return []
        if yes:
            self._wanted.add(duty)
            self._ask_at[duty] = max(self._ask_at[duty], now)
            return []
        self._wanted.discard(duty)
        return list(self._give_up(duty, now))

    def rest(self, duty: str, now: datetime) -> list[Letter]:
        """Gives it up, and asks for it again only when another has had time to take it."""
        letters = list(self._give_up(duty, now))
        self._rests[duty] = self._ask_at[duty] = now + 2 * self.rule.length
        return letters

    def left(self, duty: str, now: datetime) -> timedelta:
        """Of the lease that is held here, or granted to another."""
        until = self._claims[duty].until if self.token(duty, now) else self._voters[duty].until
        return max(timedelta(0), until - now) if until else timedelta(0)

    def _turn(self, duty: str) -> timedelta:
        before = sum(self._first(duty, name) for name in self.rule.members)
        return self.rule.length * STEP * (before + self._random.random() / 2)

    def _first(self, duty: str, name: str) -> bool:
        """Whether this one's turn comes before the own."""
        return turn_of(duty, name) < turn_of(duty, self.me)

    def token(self, duty: str, now: datetime) -> Token | None:
        """Asked right before each act. None: it is not ours now."""
        claim = self._claims[duty]
        return claim.token if claim.holds(now) else None

    def holder(self, duty: str, now: datetime) -> str:
        """Whom this member believes to hold it: by its own claim, else by the vote it has given."""
        voter = self._voters[duty]
        if self.token(duty, now):
            return self.me
        return voter.granted.token.holder if voter.granted and voter.until and now < voter.until else ""

    def term(self, duty: str) -> int:
        return max(self._claims[duty].term, self._voters[duty].term)

    def tick(self, now: datetime) -> list[Letter]:
        found = list[Letter]()
        for duty, claim in list(self._claims.items()):
            if self.leaving or not self.takes_part:
                break
            if duty not in self._wanted:
                continue
            if claim.holds(now):
                if now >= self._ask_at[duty]:
                    if claim.token and claim.term > claim.token.term:  # else who has heard of it says no
                        self._claims[duty] = lease.bumped(claim, claim.term, now)
                    found += self._ask(duty, now)
                elif claim.asked_at and claim.until != claim.asked_at + self.rule.held:
                    found += self._remind(duty, claim, now)
            elif claim.asked_at:
                if now - claim.asked_at >= self.rule.length * ANSWER:
                    found += self._lose(duty, now)
            elif now >= self._ask_at[duty]:
                if self.holder(duty, now):
                    until = self._voters[duty].until
                    self._ask_at[duty] = (until or now) + self._turn(duty)
                else:
                    found += self._ask(duty, now)
        return found

    def _ask(self, duty: str, now: datetime) -> list[Letter]:
        # Above what the own vote has seen: the others have seen that as well, and would say no to less.
        known = replace(self._claims[duty], term=self.term(duty))
        claim, ask = lease.ask(known, now, self.rule.list)
        self._voters[duty], vote = lease.asked(self._voters[duty], self.me, ask, now, self.rule)
        self._claims[duty] = lease.counted(claim, vote, self.rule) if vote else claim
        self._ask_at[duty] = now + self.rule.held / RENEWALS
        self._again_at[duty] = now + self.rule.length * AGAIN
        self._noes[duty].clear()
        return [Letter(duty, ask)]

    def _remind(self, duty: str, claim: Claim, now: datetime) -> Iterator[Letter]:
        """The same question: whenever its answer comes, the lease counts from when it was first asked."""
        if claim.token and now >= self._again_at[duty]:
            self._again_at[duty] = now + self.rule.length * AGAIN
            question = Ask(claim.token, claim.number, self.rule.list, holds=True)
            for name in self.rule.members:
                if name not in claim.votes and name != self.me:
                    yield Letter(duty, question, name)

    def _give_up(self, duty: str, now: datetime) -> Iterator[Letter]:
        self._claims[duty], release = lease.given_up(self._claims[duty])
        if release:
            self._voters[duty] = lease.released(self._voters[duty], release)
            yield Letter(duty, release)

    def _lose(self, duty: str, now: datetime) -> list[Letter]:
        """Back with what was got. Another may have got the rest, so the pause is by chance, and grows."""
        self._lost[duty] += 1
        pause = self.rule.length * STEP * 2 ** min(self._lost[duty], 3) * self._random.random()
        self._ask_at[duty] = now + self._turn(duty) + pause
        return list(self._give_up(duty, now))

    def heard(self, sender: str, letter: Letter, now: datetime) -> list[Letter]:
        """Whoever sends may speak for itself alone. What is of another, or of a duty not known here, is
        nothing."""
        duty, what = letter.duty, letter.what
        if duty not in self._voters or sender not in self.rule.members:
            return []
        match what:
            case Ask(token) if token.holder == sender and self.takes_part:
                letters = self._met(duty, what, now) if sender != self.me else []
                self._voters[duty], vote = lease.asked(self._voters[duty], self.me, what, now, self.rule)
                return [*letters, Letter(duty, vote, sender)] if vote else letters
            case Vote(voter, token=token) if voter == sender and token.holder == self.me:
                claim = self._claims[duty] = lease.counted(self._claims[duty], what, self.rule)
                if claim.holds(now):
                    self._lost[duty] = 0
                elif claim.asked_at and (what.number, token) == (claim.number, claim.token) and not what.yes:
                    self._noes[duty].add(sender)
                    if len(self.rule.members) - len(self._noes[duty]) < self.rule.majority:
                        return self._lose(duty, now)  # some had not heard yet that it is free
            case Release(token) if token.holder == sender:
                before, self._voters[duty] = self._voters[duty], lease.released(self._voters[duty], what)
                if before != self._voters[duty] and not self._claims[duty].asked_at:
                    self._ask_at[duty] = max(now + self._turn(duty), self._rests.get(duty, now))
        return []

    def _met(self, duty: str, ask: Ask, now: datetime) -> list[Letter]:
        """Another one asks for what is asked for, or held, here."""
        claim, token = self._claims[duty], ask.token
        if claim.holds(now):
            # It has granted itself that term and says no to a lower one: it would go on asking for as long as
            # it hears of the holder under that alone.
            if token.term > claim.term:
                self._claims[duty], self._ask_at[duty] = replace(claim, term=token.term), now
        elif claim.asked_at and (ask.holds or self._first(duty, token.holder)):
            # A holder gives up for nobody: the two would outbid each other until its lease ends.
            self._ask_at[duty] = now + self.rule.length * ANSWER + self._turn(duty)
            return list(self._give_up(duty, now))  # votes that are split would help neither
        elif claim.asked_at and claim.token and token.term >= claim.token.term:
            self._claims[duty] = replace(claim, term=max(claim.term, token.term))
            return self._ask(duty, now)  # above its term: it gives up for this one, and may grant that then
        return []

    def behind(self, duty: str, seen: int, now: datetime) -> None:
        """A receiver has seen a term not below ours: the holder goes on above it."""
        self._claims[duty] = lease.bumped(self._claims[duty], seen, now)
        self._ask_at[duty] = now

    def leave(self, now: datetime) -> list[Letter]:
        """All that is held goes at once to whoever asks next; nothing is asked for any more."""
        self.leaving = True
        return [letter for duty in self._claims for letter in self._give_up(duty, now)]
