"""Header names of the protocol, and which headers are passed along."""

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
    """The headers without those that concern a single connection only."""
    connection = ",".join(headers.getall("Connection", []))
    named = {name.strip().lower() for name in connection.split(",")}
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered not in _HOP_BY_HOP and lowered not in named:
            passed.add(name, value)
    return passed
