"""The protocol's header names, and the choice of headers that the dispatcher forwards."""

from __future__ import annotations

from multidict import CIMultiDict, CIMultiDictProxy

REQUEST_ID = "X-Try-Id"
TIME_LEFT = "X-Time-Left"
PROMPT_PREFIX = "X-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
SEAL = "X-Seal"
WANT_INSTANCE = "X-Want-Instance"
LOAD = "X-Load"
NOT_RUN = "X-Not-Run"
RETRY_AFTER = "Retry-After"
MODEL = "X-Model"
TOKENS = "X-Tokens"
PRIORITY = "Priority"
KEEP_ALIVE = "Keep-Alive"

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)


def end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """The headers without the hop-by-hop ones, which concern a single connection only."""
    connection = ",".join(headers.getall("Connection", []))
    connection_options = {name.strip().lower() for name in connection.split(",")}
    forwarded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in _HOP_BY_HOP and lowered not in connection_options:
            forwarded.add(name, value)
    return forwarded
