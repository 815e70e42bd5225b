"""Quorum sizes of a group of members."""


def vote_quorum(members: int) -> int:
    """Return how many members must promise an epoch before its candidate may use it."""
    return members // 2 + 1


def copy_quorum(members: int, tolerate: int) -> int:
    """Return how many members must have synced a document before it is committed."""
    return max(min(tolerate + 1, members), vote_quorum(members))
