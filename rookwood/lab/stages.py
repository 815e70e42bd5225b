"""What stages of the lab have in common: an asynchronous context that starts and stops them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from types import TracebackType
from typing import Self


class Stage(ABC):
    """Parts that run together; started on entry, and stopped on exit whatever happened between."""

    @abstractmethod
    async def start(self) -> None:
        """Start all parts."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop all parts."""

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.stop()
