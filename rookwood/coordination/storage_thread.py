"""One thread for everything that touches the disk, which a process that ends does not wait for.

A disk may stall for good. A thread of the library's executors is joined when the interpreter ends, so a write
that hangs would keep a process from ending until it is killed. This thread is a daemon: what hangs is left to
the end of the process, and is then in doubt as after a kill.
"""

import asyncio
import threading
from collections.abc import Callable
from contextlib import suppress
from queue import SimpleQueue
from typing import Any, TypeVar

Result = TypeVar("Result")
Job = Callable[[], None]


class StorageThread:
    """Runs functions one after another, in the order in which they were given."""

    def __init__(self, name: str) -> None:
        self._jobs: SimpleQueue[Job | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._work, name=name, daemon=True)
        self._thread.start()

    async def run(self, function: Callable[..., Result], *arguments: Any) -> Result:
        """Return what the function returns, or raise what it raises."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()

        def job() -> None:
            try:
                result = function(*arguments)
            except BaseException as error:
                _tell(loop, _set_exception, future, error)
            else:
                _tell(loop, _set_result, future, result)

        self._jobs.put(job)
        return await future

    def close(self) -> None:
        """Let the thread end once it has done what was given so far."""
        self._jobs.put(None)

    def join(self) -> None:
        """Wait until the thread has ended."""
        self._thread.join()

    def _work(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                return
            job()


def _tell(loop: asyncio.AbstractEventLoop, function: Callable[..., None], *arguments: Any) -> None:
    with suppress(RuntimeError):  # the loop ended meanwhile
        loop.call_soon_threadsafe(function, *arguments)


def _set_result(future: asyncio.Future[Result], result: Result) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: asyncio.Future[Result], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
