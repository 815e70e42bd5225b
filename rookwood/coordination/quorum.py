"""Quorum sizes of a group of members."""


def vote_quorum(members: int) -> int:
    """Return how many members must promise an epoch before its candidate becomes primary: a majority."""
    return members // 2 + 1


def copy_quorum(members: int, tolerate: int) -> int:
    """Return how many members must have synced a document before it is committed.

    It is at least a majority, and enough that a copy survives the loss of `tolerate` members.
    """
    return max(min(tolerate + 1, members), vote_quorum(members))
