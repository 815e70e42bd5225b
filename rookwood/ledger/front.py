"""Plugs the ledger into a dispatcher, as the operator's file says."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from rookwood.conf import OperatorFile
from rookwood.conf import Store as Settings
from rookwood.interface import DeduplicationScope, JobClass, RetrySafety
from rookwood.ledger.guard import Ledger, Terms
from rookwood.ledger.memory import MemoryStore
from rookwood.ledger.store import Store, Tier
from rookwood.net.clock import Clock
from rookwood.net.destinations import DestinationUpdate
from rookwood.net.dispatcher import DispatcherContext


def store_of(settings: Settings, tier: Tier, clock: Clock) -> Store:
    """Imports only the backend that is asked for."""
    if settings.peers:
        from rookwood.replicas.peers import PeersStore

        return PeersStore(tier, clock.now)
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


def claimed(classes: Iterable[JobClass], retry_window: timedelta) -> frozenset[str]:
    """Classes whose keyed requests are claimed: all that must not run twice, but for those of which every
    worker drops repeats for as long as clients come back. Where only the workers of a zone or cell do, a
    client's retry may well meet others, and a claim is what keeps it from running there."""

    def dropped(job_class: JobClass) -> bool:
        everywhere = job_class.repeat is RetrySafety.KEYED and job_class.group is DeduplicationScope.ALL
        return everywhere and timedelta(microseconds=job_class.window) >= retry_window

    return frozenset(c.name for c in classes if c.repeat is not RetrySafety.SAFE and not dropped(c))


class LedgerFront:
    def __init__(self, core: DispatcherContext, settings: Settings) -> None:
        longest = max((c.give_up for c in core.classes.values()), default=0)
        window = timedelta(microseconds=longest) + settings.retry_window
        tier = Tier(settings.tier or core.dispatcher_group.configured_count, window)
        terms = Terms(settings.lease, settings.keep)
        store = store_of(settings, tier, core.clock)
        if settings.peers:
            core.dispatcher_group.member_store = store
        keyed = claimed(core.classes.values(), settings.retry_window)
        self.ledger = Ledger(core.name, store, tier, terms, core.clock, keyed)
        core.request_handler.idempotency_guard = self.ledger
        core.stats.extra_sources.append(self.ledger.figures)

    def filter_update(self, update: DestinationUpdate, kept: bool) -> DestinationUpdate:
        return update

    async def start(self) -> None:
        await self.ledger.start()

    def reload(self) -> None:
        pass

    def handed_over(self) -> None:
        pass

    def begin_shutdown(self) -> None:
        pass

    async def wait_drained(self) -> None:
        pass

    async def close(self) -> None:
        await self.ledger.close()


def front_of(operator: OperatorFile) -> Callable[[DispatcherContext], LedgerFront]:
    settings = operator.store
    assert settings
    return lambda core: LedgerFront(core, settings)
