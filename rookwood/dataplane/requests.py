"""A client's request with the values that routing reads from its headers."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from aiohttp import web
from multidict import CIMultiDict

from rookwood.clusterconfig.document import Route
from rookwood.dataplane import headers as names
from rookwood.dataplane.demand import ServiceKey

MILLISECONDS = 1000.0
MAX_PROMPT_PARTS = 64  # of a prompt that are told apart; those behind them change no choice of a worker


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; `prefix_id` is a hash of the weights, this part and all parts before it.

    A worker that has prefilled a part with the same id has the whole prefix in its cache.
    """

    prefix_id: int
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route, service and weights. Times are in seconds of the event loop's clock."""

    id: str
    method: str
    target: str
    route: Route
    service: str
    key: ServiceKey | None
    parts: tuple[PromptPart, ...]
    headers: CIMultiDict[str]
    body: bytes | bytearray
    arrived: float
    deadline: float
    stated_time_left: float | None = None  # seconds in X-Time-Left, even if longer than the route's timeout

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once, as its route says."""
        return self.route.repeatable


def read_prompt_parts(weights: str, text: str) -> tuple[PromptPart, ...]:
    """Read X-Prompt-Prefix for the weights in X-Model, up to the first malformed part.

    Each part costs a hash of all before it, so there is a limit.
    """
    parts: list[PromptPart] = []
    chain = weights
    for item in text.split(",", MAX_PROMPT_PARTS)[:MAX_PROMPT_PARTS]:
        name, _, tokens = item.strip().partition(":")
        if not name or not tokens.isdecimal():
            break
        chain = f"{chain}/{name}"
        identity = int.from_bytes(hashlib.blake2b(chain.encode(), digest_size=7).digest(), "big")
        parts.append(PromptPart(identity, int(tokens)))
    return tuple(parts)


def read_weights_key(service: str, text: str | None) -> ServiceKey | None:
    """Read X-Model: a model, or model/adapter."""
    if not text:
        return None
    model, _, adapter = text.partition("/")
    return ServiceKey(service, model, adapter)


def read_time_left(text: str | None) -> float | None:
    """Read X-Time-Left, which is in milliseconds, as seconds; None if missing or malformed."""
    try:
        return max(0.0, float(text) / MILLISECONDS) if text else None
    except ValueError:
        return None


def build_request(
    request: web.BaseRequest, route: Route, body: bytes | bytearray, service: str, arrived: float
) -> RoutedRequest:
    """Combine a client's request with its route, and set its deadline."""
    headers = request.headers
    limit = route.timeout_ms / MILLISECONDS
    time_left = read_time_left(headers.get(names.TIME_LEFT))
    return RoutedRequest(
        id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        target=request.raw_path,
        route=route,
        service=service,
        key=read_weights_key(service, headers.get(names.MODEL)),
        parts=read_prompt_parts(headers.get(names.MODEL, ""), headers.get(names.PROMPT_PREFIX, "")),
        headers=names.end_to_end(headers),
        body=body,
        arrived=arrived,
        deadline=arrived + (limit if time_left is None else min(limit, time_left)),
        stated_time_left=time_left,
    )
