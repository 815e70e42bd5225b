"""Both programs, started as in a deployment, serve their metrics at the port that the deploy file names."""

from __future__ import annotations

import unittest
from functools import partial

from aiohttp import ClientError, ClientSession, ClientTimeout

from rookwood.lab.systemstage.configuration import RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually
from rookwood.metrics.server import METRICS_PATH, METRICS_PORT
from tests.metrics_text import MetricsText

FIRST = small_configuration(version=3)
SECOND = FIRST.with_route(8, RouteSpec("new", "pages", "/new/", RouteKind.MUTATING))
UNKNOWN_ROUTE = RouteSpec("unknown", "pages", "/unknown/", RouteKind.MUTATING)
SHARED = {
    "rookwood_configuration_version",
    "rookwood_configuration_epoch",
    "rookwood_configuration_sequence",
    "rookwood_configuration_in_force_seconds",
    "rookwood_configuration_behind_seconds",
    "rookwood_announced_sequence",
    "rookwood_messages_total",
    "rookwood_message_bytes_total",
    "rookwood_links_open",
    "rookwood_link_queue_bytes",
    "rookwood_loop_lag_seconds",
    "rookwood_process_resident_bytes",
    "rookwood_invariant_violations_total",
}
DATA_PLANE = {
    "rookwood_requests_total",
    "rookwood_refusals_total",
    "rookwood_attempts_total",
    "rookwood_requests_in_flight",
    "rookwood_requests_waiting",
    "rookwood_client_connections",
}
CONTROL_PLANE = {
    "rookwood_role",
    "rookwood_epoch",
    "rookwood_elections_begun_total",
    "rookwood_promises_refused_total",
    "rookwood_disk_writes_total",
    "rookwood_disk_write_seconds_total",
    "rookwood_calls_open",
    "rookwood_replication_queue_bytes",
}


async def scrape(session: ClientSession, machine: SystemProcess) -> MetricsText:
    """The metrics of one machine."""
    async with session.get(f"http://{machine.settings.ip}:{METRICS_PORT}{METRICS_PATH}") as response:
        response.raise_for_status()
        return MetricsText(await response.text())


async def reports_version(session: ClientSession, machine: SystemProcess, version: int) -> bool:
    """Whether the machine has this version in force and knows no newer one."""
    try:
        text = await scrape(session, machine)
    except ClientError:
        return False
    behind = text.sum("rookwood_configuration_behind_seconds")
    return text.sum("rookwood_configuration_version") == version and behind == 0


class SystemMetricsTest(unittest.IsolatedAsyncioTestCase):
    """Scrapes of running machines."""

    async def asyncSetUp(self) -> None:
        self.stage = await self.enterAsyncContext(SystemStage(control_planes=3, data_planes=2))
        self.session = await self.enterAsyncContext(ClientSession(timeout=ClientTimeout(total=5.0)))

    async def test_both_roles_report_what_happened(self) -> None:
        await self.stage.begin_day(FIRST)
        await self.stage.configure(SECOND, FIRST.version)
        for machine in self.stage.processes:
            is_up_to_date = partial(reports_version, self.session, machine, SECOND.version)
            await eventually(is_up_to_date, f"{machine.name} reports the newest version")
        await self.check_data_planes()
        await eventually(self.each_dispatcher_has_one_link, "each dispatcher has one link")
        await self.check_control_planes()

    async def check_data_planes(self) -> None:
        """The metrics of a dispatcher count requests, rejections and fetched configurations."""
        machine = self.stage.data_planes[0]
        served = await self.stage.client.send(machine, FIRST.route("page"))
        rejected = await self.stage.client.send(machine, UNKNOWN_ROUTE)
        self.assertEqual((served.served, rejected.status), (True, 404))
        text = await scrape(self.session, machine)
        self.assertLessEqual(SHARED | DATA_PLANE, text.names())
        self.assertEqual(text.sum("rookwood_requests_total", outcome="answered", status="2xx"), 1)
        self.assertEqual(text.sum("rookwood_refusals_total", status="404", reason="no route"), 1)
        self.assertEqual(text.sum("rookwood_attempts_total"), 1)
        received = {"channel": "feed", "direction": "received", "peer": "core"}
        self.assertGreater(text.sum("rookwood_message_bytes_total", type="Status", **received), 0)
        self.assertEqual(text.sum("rookwood_invariant_violations_total"), 0)

    async def each_dispatcher_has_one_link(self) -> bool:
        """Whether each has one link, by the metrics of both sides; at times a second one is tried."""
        dispatchers = [await scrape(self.session, machine) for machine in self.stage.data_planes]
        machines = [await scrape(self.session, machine) for machine in self.stage.control_planes]
        opened = [text.sum("rookwood_links_open", peer="core") for text in dispatchers]
        accepted = sum(text.sum("rookwood_links_open", peer="edge") for text in machines)
        return opened == [1] * len(dispatchers) and accepted == len(dispatchers)

    async def check_control_planes(self) -> None:
        """One machine is the primary; all have written to their disks and sent messages to their peers."""
        texts = [await scrape(self.session, machine) for machine in self.stage.control_planes]
        roles = [text.sum("rookwood_role", role="primary") for text in texts]
        self.assertEqual(sum(roles), 1)
        self.assertEqual(len({text.sum("rookwood_configuration_sequence") for text in texts}), 1)
        for text in texts:
            self.assertLessEqual(SHARED | CONTROL_PLANE, text.names())
            self.assertGreater(text.sum("rookwood_disk_writes_total"), 0)
            sent = {"direction": "sent", "channel": "feed", "type": "Status"}
            self.assertGreater(text.sum("rookwood_messages_total", peer="core", **sent), 0)
            self.assertGreater(text.sum("rookwood_message_bytes_total", channel="replication"), 0)
        sent = {"direction": "sent", "channel": "feed", "type": "Status", "peer": "edge"}
        self.assertGreater(sum(text.sum("rookwood_messages_total", **sent) for text in texts), 0)
        self.assertGreaterEqual(sum(text.sum("rookwood_elections_begun_total") for text in texts), 1)
        self.assertEqual(sum(text.sum("rookwood_invariant_violations_total") for text in texts), 0)


if __name__ == "__main__":
    unittest.main()
