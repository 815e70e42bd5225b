"""A worker that deregistered gets requests again after all processes were killed and came back.

1. A worker says DELETE, which is acknowledged, and serves on (it never said `draining`).
2. All processes are killed at once, and are back within a second.
3. A heartbeat that the worker sent before its DELETE comes seconds late.
4. Clients send requests while the dispatcher is in touch again. None may reach that worker.

TROUBLE=0 leaves out the second step; the late heartbeat comes all the same.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import harness

DRAIN = harness.BOUNDS["drain-ms"] / 1000
CONTACT = harness.BOUNDS["contact-ms"] / 1000
KILL_AFTER = 0.1  # seconds from the acknowledgement of DELETE
DOWN = 0.3  # seconds
HEARTBEAT_LATE = 3.0  # seconds from the acknowledgement of DELETE
CLIENTS_UNTIL = 7.0  # seconds from the acknowledgement of DELETE
WORKER_ENDS = 7.2  # seconds from the acknowledgement of DELETE
WORK = 0.6  # seconds
CLIENT_PAUSE = 0.05  # seconds
MARGIN = 0.1  # seconds beyond `contact-ms`


async def play(record: harness.Record) -> bool:
    """Play the case; returns whether DRAIN held."""
    deployment = harness.Deployment(record, dispatchers=1)
    staying = harness.Worker(deployment, 1, work=WORK)
    leaving = harness.Worker(deployment, 2, work=WORK)
    try:
        await deployment.start()
        await deployment.configure(harness.configuration(harness.route("page", "/page/", "mutating")))
        await staying.start()
        await leaving.start()
        await deployment.wait_until_ready()
        await wait_until_served_by_both(deployment, staying, leaving)
        await harness.sleep_until(max(p.started_at for p in deployment.processes) + CONTACT + MARGIN)
        return await leave(record, deployment, leaving)
    finally:
        await leaving.stop()
        await staying.stop()
        await deployment.stop()


async def leave(record: harness.Record, deployment: harness.Deployment, leaving: harness.Worker) -> bool:
    """Let the worker leave, play the disruption and judge what reached the worker."""
    leaving.stop_beats()
    late_heartbeat = leaving.beat_body()  # sent now, on its way for seconds
    acknowledged_at = await leaving.deregister()
    record.write(f"DELETE of {leaving.id} acknowledged")
    if harness.has_trouble():
        await harness.sleep_until(acknowledged_at + KILL_AFTER)
        await asyncio.gather(*(process.kill() for process in deployment.processes))
        record.write("all processes killed")
        await asyncio.sleep(DOWN)
        await deployment.start()
        record.write("all processes started")
    await harness.sleep_until(acknowledged_at + HEARTBEAT_LATE)
    record.write(f"late heartbeat of {leaving.id} arrives: {await leaving.tell('PUT', late_heartbeat)}")
    started_at = max(process.started_at for process in deployment.processes)
    judged_from = max(started_at + CONTACT, acknowledged_at + DRAIN) + MARGIN
    await harness.sleep_until(judged_from)
    await deployment.wait_until_ready(2.0)
    tries = []
    while time.monotonic() < acknowledged_at + CLIENTS_UNTIL:
        tries.append(asyncio.create_task(harness.send_try(deployment, "/page/2f", b'{"page":1}')))
        await asyncio.sleep(CLIENT_PAUSE)
    await harness.sleep_until(acknowledged_at + WORKER_ENDS)
    record.write(f"worker {leaving.id} ends")
    await leaving.stop()
    sent = {attempt.id: attempt for attempt in await asyncio.gather(*tries)}
    if not any(attempt.status == 200 for attempt in sent.values()):
        raise harness.SetupError("no request was served")
    late = [run for run in leaving.runs if run.try_id in sent]
    lost = [run for run in late if sent[run.try_id].status != 200]
    for run in late:
        delay = run.at - acknowledged_at
        record.write(f"DRAIN: {run.try_id} reached {leaving.id} {delay:.3f} s after DELETE was acknowledged")
    late_by_the_longer_span = [
        run for run in late if sent[run.try_id].sent_at > started_at + 2 * CONTACT + MARGIN
    ]
    record.write(
        f"{len(sent)} requests sent in touch, {len(late)} reached the worker that left, "
        f"{len(late_by_the_longer_span)} of these were sent twice `contact-ms` after the last start, "
        f"{len(lost)} got no success"
    )
    return not late


async def wait_until_served_by_both(
    deployment: harness.Deployment, staying: harness.Worker, leaving: harness.Worker
) -> None:
    """Send requests until both workers have run one."""

    async def both_have_run() -> bool:
        requests = (harness.send_try(deployment, "/page/2f", b'{"page":1}') for _ in range(4))
        await asyncio.gather(*requests)
        return bool(staying.runs) and bool(leaving.runs)

    await harness.eventually(both_have_run, "both workers serve", 20.0)


if __name__ == "__main__":
    harness.main(play, str(Path(__file__).parent))
