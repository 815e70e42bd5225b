"""Passes a worker's stream on to the client, event by event."""

from __future__ import annotations

import asyncio

from aiohttp import web

from rookwood.dataplane.events import Event, EventSplitter, OversizedEventError, is_repeated
from rookwood.dataplane.pool import WorkerTraffic
from rookwood.dataplane.responses import RequestProgress, StreamBroke, StreamEnded
from rookwood.dataplane.silence import SilenceWatch
from rookwood.dataplane.upstream import Streaming
from rookwood.httpclient.outcomes import ResponseLost

SILENT = "silence"


async def copy_events(
    stream: Streaming,
    progress: RequestProgress,
    response: web.StreamResponse,
    traffic: WorkerTraffic,
    watch: SilenceWatch,
    deadline: float,
) -> StreamEnded | StreamBroke:
    """Copy until the stream ends or breaks, `watch` leaves it, or the deadline of the loop's clock comes.

    Raises ConnectionResetError where the client has left.
    """
    splitter = EventSplitter()
    loop = asyncio.get_running_loop()
    ended: StreamEnded | StreamBroke = StreamBroke(SILENT)
    try:
        async with asyncio.timeout_at(deadline), watch:
            while data := await stream.answer.read_some():
                if isinstance(data, ResponseLost):
                    return StreamBroke(data.reason)
                watch.renew()
                traffic.heard = loop.time()
                progress.trace.event(loop.time())
                await _pass_events(splitter.feed(data), progress, response)
            ended = StreamBroke("partial event") if splitter.partial else StreamEnded()
    except TimeoutError:
        return StreamBroke("deadline")
    except OversizedEventError:
        return StreamBroke("oversized event")
    return ended


async def _pass_events(events: list[Event], progress: RequestProgress, response: web.StreamResponse) -> None:
    for event in events:
        if is_repeated(event, progress.last_event):
            continue
        if event.id is not None:
            progress.last_event = event.id
        elif progress.last_event is None:
            progress.passed_without_id = True
        await response.write(event.raw)
