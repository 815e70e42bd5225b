"""Operators' changes against whole programs: lost answers, resends elsewhere, two operators on one base."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace

from rookwood.lab.systemstage.configuration import (
    Configuration,
    ConfigurationPatch,
    RouteKind,
    RouteSpec,
    small_configuration,
)
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.operator import Operator
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

FIRST: Configuration = small_configuration(version=3)
ORDERS_AT_ONCE = 8
LATER_CHANGES = 300
TAKEN = 200
CONFLICT = 412


def with_new_route(version: int, prefix: str) -> Configuration:
    """A change on the first configuration."""
    return FIRST.with_route(version, RouteSpec("new", "pages", f"/{prefix}/", RouteKind.MUTATING))


def spelled_differently(body: bytes) -> bytes:
    """The same JSON with other whitespace."""
    return json.dumps(json.loads(body), indent=2).encode() + b"\n"


async def send_without_listening(machine: SystemProcess, configuration: Configuration, base: int) -> None:
    """Send a change and leave before its answer."""
    ip, port = machine.control_address.split(":")
    body = configuration.encode()
    head = f"PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: {base}\r\nContent-Length: {len(body)}\r\n\r\n"
    _, writer = await asyncio.open_connection(ip, int(port))
    writer.write(head.encode() + body)
    await writer.drain()
    writer.close()
    await writer.wait_closed()


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    async def begin(self) -> SystemStage:
        """Three control planes that have taken the first configuration."""
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        return stage

    def operator_of(self, machine: SystemProcess) -> Operator:
        """An operator that calls one control plane alone."""
        operator = Operator([machine.control_address])
        self.addAsyncCleanup(operator.close)
        return operator

    async def resend_everywhere(self, stage: SystemStage, body: bytes, base: int) -> list[int]:
        """The status that each control plane gives, or the one it names, to a change in another spelling."""
        answers = [
            await self.operator_of(machine).call("PUT", spelled_differently(body), base)
            for machine in stage.control_planes
        ]
        return [answer.status for answer in answers]

    async def test_of_eight_changes_at_once_through_all_machines_one_stays_taken(self) -> None:
        stage = await self.begin()
        operators = [self.operator_of(machine) for machine in stage.control_planes]
        changes = [with_new_route(8, f"n{number}") for number in range(ORDERS_AT_ONCE)]
        answers = await asyncio.gather(
            *(operators[n % len(operators)].put(change, 3) for n, change in enumerate(changes))
        )
        statuses = [answer.status for answer in answers]
        self.assertEqual([TAKEN] + [CONFLICT] * (ORDERS_AT_ONCE - 1), sorted(statuses))
        for number, change in enumerate(changes):
            expected = [statuses[number]] * len(stage.control_planes)
            self.assertEqual(expected, await self.resend_everywhere(stage, change.encode(), 3))
        winner = changes[statuses.index(TAKEN)]
        self.assertEqual(winner.document(), (await stage.operator.get()).json())

    async def test_change_stays_taken_after_hundreds_of_later_ones_and_a_restart_of_all(self) -> None:
        stage = await self.begin()
        mine, other = with_new_route(8, "mine"), with_new_route(8, "other")
        await send_without_listening(stage.control_planes[0], mine, 3)
        self.assertEqual(TAKEN, (await stage.operator.put(mine, 3)).status)
        version = 8
        for number in range(LATER_CHANGES):
            route = RouteSpec("moving", "pages", f"/m{number}/", RouteKind.SAFE)
            patch = ConfigurationPatch(version + 1 + number % 3, upsert_routes=(route,))
            self.assertEqual(TAKEN, (await stage.operator.patch(patch, version)).status)
            version = patch.version
        self.assertEqual([TAKEN] * 3, await self.resend_everywhere(stage, mine.encode(), 3))
        await asyncio.gather(*(machine.kill() for machine in stage.control_planes))
        await asyncio.gather(*(machine.start() for machine in stage.control_planes))
        self.assertEqual([TAKEN] * 3, await self.resend_everywhere(stage, mine.encode(), 3))
        self.assertEqual([CONFLICT] * 3, await self.resend_everywhere(stage, other.encode(), 3))
        self.assertEqual([TAKEN] * 3, await self.resend_everywhere(stage, FIRST.encode(), 0))
        self.assertEqual(TAKEN, (await stage.operator.patch(patch, patch.version - 1 - number % 3)).status)

    async def test_lost_answer_of_a_primary_that_is_killed_then_is_repeated_by_its_successor(self) -> None:
        stage = await self.begin()
        change, other = with_new_route(8, "mine"), with_new_route(8, "other")
        primary = await stage.find_primary()
        await send_without_listening(primary, change, 3)
        await eventually(lambda: "configuration taken" in after_first(primary), "the change was taken")
        await primary.kill()
        for machine in stage.control_planes:
            if machine is not primary:
                self.assertEqual(TAKEN, (await self.operator_of(machine).put(change, 3)).status)
                self.assertEqual(CONFLICT, (await self.operator_of(machine).put(other, 3)).status)

    async def test_change_held_by_a_frozen_primary_loses_against_one_taken_by_its_successor(self) -> None:
        stage = await self.begin()
        late, taken = with_new_route(8, "late"), with_new_route(8, "taken")
        frozen = await stage.find_primary()
        frozen.freeze()
        await send_without_listening(frozen, late, 3)
        others = [machine for machine in stage.control_planes if machine is not frozen]
        self.assertEqual(TAKEN, (await self.operator_of(others[0]).put(taken, 3)).status)
        frozen.thaw()
        answer = await stage.operator.attempt(frozen.control_address, "PUT", late.encode(), 3)
        self.assertTrue(answer is None or answer.status in (CONFLICT, 503), answer)
        self.assertEqual([CONFLICT] * 3, await self.resend_everywhere(stage, late.encode(), 3))
        self.assertEqual([TAKEN] * 3, await self.resend_everywhere(stage, taken.encode(), 3))
        self.assertEqual(taken.document(), (await stage.operator.get()).json())
        on_top = replace(late, version=9)
        self.assertEqual(TAKEN, (await stage.operator.put(on_top, 8)).status)


def after_first(machine: SystemProcess) -> str:
    """What a machine has logged since it took the first configuration."""
    return machine.log().partition("configuration taken")[2]


if __name__ == "__main__":
    unittest.main()
