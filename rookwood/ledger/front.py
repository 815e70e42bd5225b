"""Builds the ledger from the operator's settings and attaches it to a dispatcher."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta

from rookwood.conf import OperatorFile
from rookwood.conf import Store as Settings
from rookwood.interface import DeduplicationScope, JobClass, RetrySafety
from rookwood.ledger.guard import Ledger, Terms
from rookwood.ledger.memory import MemoryStore
from rookwood.ledger.store import Store, TrustPolicy
from rookwood.net.clock import Clock
from rookwood.net.destinations import DestinationUpdate
from rookwood.net.dispatcher import DispatcherContext


def create_store(settings: Settings, trust: TrustPolicy, clock: Clock) -> Store:
    """Builds the configured store, importing only the module that it needs."""
    if settings.peers:
        from rookwood.replicas.peers import PeersStore

        return PeersStore(trust, clock.now)
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
            trust,
        )
    if settings.file:
        from rookwood.ledger.sqlite import SqliteStore

        return SqliteStore(settings.file, trust, settings.timeout)
    return MemoryStore(trust)


def claimed_classes(classes: Iterable[JobClass], retry_window: timedelta) -> frozenset[str]:
    """The classes whose keyed requests need a claim.

    These are all classes that are not safe to run twice, except those whose workers all drop repeats for at
    least the retry window. Where only the workers of one zone or cell drop them, a retry may reach other
    workers, and only a claim prevents a second run there.
    """

    def is_deduplicated(job_class: JobClass) -> bool:
        everywhere = job_class.repeat is RetrySafety.KEYED and job_class.group is DeduplicationScope.ALL
        return everywhere and timedelta(microseconds=job_class.window) >= retry_window

    return frozenset(c.name for c in classes if c.repeat is not RetrySafety.SAFE and not is_deduplicated(c))


class LedgerExtension:
    """The dispatcher extension that owns the ledger."""

    def __init__(self, core: DispatcherContext, settings: Settings) -> None:
        longest = max((c.give_up for c in core.classes.values()), default=0)
        window = timedelta(microseconds=longest) + settings.retry_window
        trust = TrustPolicy(settings.tier or core.dispatcher_group.configured_count, window)
        terms = Terms(settings.lease, settings.keep)
        store = create_store(settings, trust, core.clock)
        if settings.peers:
            core.dispatcher_group.member_store = store
        keyed = claimed_classes(core.classes.values(), settings.retry_window)
        self.ledger = Ledger(core.name, store, trust, terms, core.clock, keyed)
        core.request_handler.idempotency_guard = self.ledger
        core.stats.extra_sources.append(self.ledger.stats_lines)

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


def ledger_extension(operator: OperatorFile) -> Callable[[DispatcherContext], LedgerExtension]:
    """A factory of the extension, for an operator file that has a section `store`."""
    settings = operator.store
    assert settings
    return lambda core: LedgerExtension(core, settings)
