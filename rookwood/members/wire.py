"""Converts probes and acknowledgements to frames of the gateway's links, and back."""

from __future__ import annotations

from rookwood.gateway.frames import Frame, MemberAck, MemberNews, MemberProbe
from rookwood.members.swim import Ack, News, Probe, Standing


def frame_of(message: Probe | Ack) -> MemberProbe | MemberAck:
    news = tuple(
        MemberNews(n.name, n.incarnation, n.revision, int(n.standing), n.zone, n.by) for n in message.news
    )
    kind = MemberProbe if isinstance(message, Probe) else MemberAck
    return kind(message.number, message.about, news)


def message_of_frame(frame: Frame) -> Probe | Ack | None:
    """The probe or acknowledgement of a frame. None: another frame, or one with an unknown standing."""
    if not isinstance(frame, MemberProbe | MemberAck):
        return None
    try:
        news = tuple(News(n.name, n.life, n.turn, Standing(n.standing), n.zone, n.by) for n in frame.news)
    except ValueError:
        return None
    return (Probe if isinstance(frame, MemberProbe) else Ack)(frame.number, frame.about, news)
