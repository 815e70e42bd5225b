"""Converts the messages of the leases to frames of the gateway's links, and back."""

from __future__ import annotations

from rookwood.duties.board import Envelope
from rookwood.duties.lease import Release, Token, Vote, VoteRequest
from rookwood.gateway.frames import DutyAsk, DutyRelease, DutyVote, Frame


def frame_of(envelope: Envelope) -> DutyAsk | DutyVote | DutyRelease:
    """The frame that carries this message; the receiver is not part of it."""
    match envelope.message:
        case VoteRequest(token, number, list_, is_renewal):
            return DutyAsk(
                envelope.duty, token.term, token.holder, token.incarnation, number, list_, is_renewal
            )
        case Vote(voter, number, token, is_granted, term):
            return DutyVote(
                envelope.duty, voter, number, token.term, token.holder, token.incarnation, is_granted, term
            )
        case Release(token, number):
            return DutyRelease(envelope.duty, token.term, token.holder, token.incarnation, number)


def envelope_of(frame: Frame) -> Envelope | None:
    """The message in a frame; None: the frame carries no lease message."""
    match frame:
        case DutyAsk(duty, term, holder, incarnation, number, list_, is_renewal):
            return Envelope(duty, VoteRequest(Token(term, holder, incarnation), number, list_, is_renewal))
        case DutyVote(duty, voter, number, term, holder, incarnation, is_granted, highest):
            return Envelope(duty, Vote(voter, number, Token(term, holder, incarnation), is_granted, highest))
        case DutyRelease(duty, term, holder, incarnation, number):
            return Envelope(duty, Release(Token(term, holder, incarnation), number))
    return None
