"""Plugs the ledger into a dispatcher, as the operator's file says."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from rookwood.conf import Operator
from rookwood.conf import Store as Settings
from rookwood.ledger.guard import Ledger, Terms
from rookwood.ledger.memory import MemoryStore
from rookwood.ledger.store import Store, Tier
from rookwood.net.destinations import DestinationSet
from rookwood.net.dispatcher import Core


def store_of(settings: Settings, tier: Tier) -> Store:
    """Imports only the backend that is asked for."""
    if settings.redis:
        from rookwood.ledger.redis import RedisStore, Server

        password = settings.password_file.read_text().strip() if settings.password_file else None
        return RedisStore(
            Server(
                *settings.redis,
                username=settings.user or None,
                password=password,
                prefix=settings.prefix,
                timeout=settings.timeout,
                replicas=settings.replicas,
                authority=str(settings.authority) if settings.authority else None,
            ),
            tier,
        )
    if settings.file:
        from rookwood.ledger.sqlite import SqliteStore

        return SqliteStore(settings.file, tier, settings.timeout)
    return MemoryStore(tier)


class LedgerFront:
    def __init__(self, core: Core, settings: Settings) -> None:
        longest = max((c.give_up for c in core.classes.values()), default=0)
        window = timedelta(microseconds=longest) + settings.retry_window
        tier = Tier(settings.tier or core.dispatchers, window)
        terms = Terms(settings.lease, settings.keep)
        store = store_of(settings, tier)
        self.ledger = Ledger(core.name, store, tier, terms, core.clock, core.decisions.unsafe)
        core.requests.claims = self.ledger
        core.figures.more.append(self.ledger.figures)

    def told(self, told: DestinationSet, kept: bool) -> DestinationSet:
        return told

    async def start(self) -> None:
        await self.ledger.start()

    def reload(self) -> None:
        pass

    def succeeded(self) -> None:
        pass

    def leave(self) -> None:
        pass

    async def empty(self) -> None:
        pass

    async def close(self) -> None:
        await self.ledger.close()


def front_of(operator: Operator) -> Callable[[Core], LedgerFront]:
    settings = operator.store
    assert settings
    return lambda core: LedgerFront(core, settings)
