"""Probes and answers as frames of the gateway's links, and back."""

from __future__ import annotations

from rookwood.gateway.frames import Frame, MemberAck, MemberNews, MemberProbe
from rookwood.members.swim import Ack, News, Probe, Standing


def frame_of(what: Probe | Ack) -> MemberProbe | MemberAck:
    news = tuple(MemberNews(n.name, n.life, n.turn, int(n.standing), n.zone, n.by) for n in what.news)
    kind = MemberProbe if isinstance(what, Probe) else MemberAck
    return kind(what.number, what.about, news)


def letter_of(frame: Frame) -> Probe | Ack | None:
    """None: it is no letter, or tells of a standing that nobody has here."""
    if not isinstance(frame, MemberProbe | MemberAck):
        return None
    try:
        news = tuple(News(n.name, n.life, n.turn, Standing(n.standing), n.zone, n.by) for n in frame.news)
    except ValueError:
        return None
    return (Probe if isinstance(frame, MemberProbe) else Ack)(frame.number, frame.about, news)
