"""Forwards a worker's event stream to the client, event by event."""

from __future__ import annotations

import asyncio

from aiohttp import web

from rookwood.dataplane.events import Event, EventSplitter, OversizedEventError, is_already_forwarded
from rookwood.dataplane.pool import WorkerTraffic
from rookwood.dataplane.responses import RequestProgress, StreamBroke, StreamEnded
from rookwood.dataplane.silence import WorkerWatch
from rookwood.dataplane.upstream import Streaming
from rookwood.httpclient.limits import REFUSED_RESPONSES, Excess
from rookwood.httpclient.outcomes import ResponseLost
from rookwood.httpserver.responses import PIECE, write_pieces

UNRESPONSIVE = "silence"
SMALL_EVENTS = 16 * 1024  # bytes of events for which no memory is asked
MEMORY_WAIT_SECONDS = 2.0  # for the memory of larger ones; others may wait for what this stream holds


async def copy_events(
    stream: Streaming,
    progress: RequestProgress,
    response: web.StreamResponse,
    traffic: WorkerTraffic,
    watch: WorkerWatch,
    deadline: float,
) -> StreamEnded | StreamBroke:
    """Copy events until the stream ends or breaks, `watch` ends the wait, or the deadline passes.

    The deadline is a time of the event loop's clock. Only complete events are forwarded, and none that the
    client already has. Raises ConnectionResetError if the client has left.
    """
    splitter = EventSplitter()
    holds_events = False  # whether memory is held for them
    loop = asyncio.get_running_loop()
    ended: StreamEnded | StreamBroke = StreamBroke(UNRESPONSIVE)
    try:
        async with asyncio.timeout_at(deadline), watch:
            while data := await stream.response.read_some():
                if isinstance(data, ResponseLost):
                    return StreamBroke(data.reason)
                watch.renew()
                traffic.last_received_at = loop.time()
                progress.trace.record_stream_data(loop.time())
                events = splitter.feed(data)
                size = splitter.partial_size + sum(len(event.raw) for event in events)
                if size > SMALL_EVENTS or holds_events:
                    holds_events = size > SMALL_EVENTS
                    held = size if holds_events else 0
                    if not await progress.response_memory.resize_within(held, MEMORY_WAIT_SECONDS):
                        REFUSED_RESPONSES.record(Excess.MEMORY)
                        return StreamBroke("no memory for an event")
                await _forward_events(events, progress, response)
            ended = StreamBroke("partial event") if splitter.has_partial_event else StreamEnded()
    except TimeoutError:
        return StreamBroke("deadline")
    except OversizedEventError:
        REFUSED_RESPONSES.record(Excess.EVENT)
        return StreamBroke("oversized event")
    return ended


async def _forward_events(
    events: list[Event], progress: RequestProgress, response: web.StreamResponse
) -> None:
    """Write the events that the client doesn't have yet, all at once."""
    fresh = []
    for event in events:
        if is_already_forwarded(event, progress.last_event_id):
            continue
        if event.id is not None:
            progress.last_event_id = event.id
        elif progress.last_event_id is None:
            progress.forwarded_without_id = True
        fresh.append(event.raw)
    if not fresh:
        return
    data = fresh[0] if len(fresh) == 1 else b"".join(fresh)
    if len(data) <= PIECE:
        await response.write(data)
    else:
        await write_pieces(response, memoryview(data))
