"""A thread for all disk access, which does not keep its process from exiting.

A disk may stall for good. Threads of the standard library's executors are joined when the interpreter exits,
so a hanging write would keep the process alive until it is killed. This thread is a daemon: a write that
hangs when the process exits may or may not reach the disk, as after a kill.
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
    """Runs functions one after another, in the order in which they were submitted."""

    def __init__(self, name: str) -> None:
        self._jobs: SimpleQueue[Job | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._run_jobs, name=name, daemon=True)
        self._thread.start()

    async def run(self, function: Callable[..., Result], *arguments: Any) -> Result:
        """Run the function on the thread; return what it returns, or raise what it raises."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Result] = loop.create_future()

        def job() -> None:
            try:
                result = function(*arguments)
            except BaseException as error:
                _call_in_loop(loop, _set_exception, future, error)
            else:
                _call_in_loop(loop, _set_result, future, result)

        self._jobs.put(job)
        return await future

    def close(self) -> None:
        """Let the thread end after the functions submitted so far."""
        self._jobs.put(None)

    def join(self) -> None:
        """Wait until the thread has ended."""
        self._thread.join()

    def _run_jobs(self) -> None:
        while True:
            job = self._jobs.get()
            if job is None:
                return
            job()


def _call_in_loop(loop: asyncio.AbstractEventLoop, function: Callable[..., None], *arguments: Any) -> None:
    with suppress(RuntimeError):  # the loop was closed in the meantime
        loop.call_soon_threadsafe(function, *arguments)


def _set_result(future: asyncio.Future[Result], result: Result) -> None:
    if not future.done():
        future.set_result(result)


def _set_exception(future: asyncio.Future[Result], error: BaseException) -> None:
    if not future.done():
        future.set_exception(error)
