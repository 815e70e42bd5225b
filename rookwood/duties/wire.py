"""Letters of the board as frames of the gateway's links, and back."""

from __future__ import annotations

from rookwood.duties.board import Letter
from rookwood.duties.lease import Ask, Release, Token, Vote
from rookwood.gateway.frames import DutyAsk, DutyRelease, DutyVote, Frame


def frame_of(letter: Letter) -> DutyAsk | DutyVote | DutyRelease:
    match letter.what:
        case Ask(token, number, list_, holds):
            return DutyAsk(letter.duty, token.term, token.holder, token.life, number, list_, holds)
        case Vote(voter, number, token, yes, term):
            return DutyVote(letter.duty, voter, number, token.term, token.holder, token.life, yes, term)
        case Release(token, number):
            return DutyRelease(letter.duty, token.term, token.holder, token.life, number)


def letter_of(frame: Frame) -> Letter | None:
    """None: it is no letter."""
    match frame:
        case DutyAsk(duty, term, holder, life, number, list_, holds):
            return Letter(duty, Ask(Token(term, holder, life), number, list_, holds))
        case DutyVote(duty, voter, number, term, holder, life, yes, highest):
            return Letter(duty, Vote(voter, number, Token(term, holder, life), yes, highest))
        case DutyRelease(duty, term, holder, life, number):
            return Letter(duty, Release(Token(term, holder, life), number))
    return None
