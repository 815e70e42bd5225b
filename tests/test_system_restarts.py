"""Processes of the system that end, freeze, restart or lose their disk."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

from rookwood.lab.emulatedworker.faults import Pause
from rookwood.lab.emulatedworker.worker import ModelWorker, inject_into_any
from rookwood.lab.systemstage.client import TryOptions
from rookwood.lab.systemstage.configuration import Configuration, RouteKind, RouteSpec, small_configuration
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import StageError, eventually

FIRST: Configuration = small_configuration(version=3)
SECOND: Configuration = FIRST.with_route(8, RouteSpec("new", "pages", "/new/", RouteKind.MUTATING))
THIRD: Configuration = SECOND.with_route(11, RouteSpec("newer", "pages", "/newer/", RouteKind.MUTATING))
STREAM = FIRST.route("once")
PAGE = FIRST.route("page")
LOADS_PER_S = 20.0
UNANSWERED_S = 2.0  # for which a call must stay without a clear answer


def fences_of(worker: ModelWorker) -> list[int]:
    """The fences of the orders that the worker took, in the order of time."""
    return [record.order.fence for record in worker.records.orders if record.status == 202]


class DataPlaneTest(unittest.IsolatedAsyncioTestCase):
    """Data planes that end or start."""

    async def test_sigterm_lets_a_running_stream_finish(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=2))
        engines = await stage.begin_day(FIRST)
        resume = asyncio.Event()
        inject_into_any(engines, Pause(resume, after_event=2))
        leaving = stage.data_planes[0]
        async with stage.client.open(leaving, STREAM, "alpha", TryOptions(events=6)) as stream:
            await stream.read_event()
            leaving.terminate()
            await eventually(self.not_ready(stage, leaving), "the data plane is not ready any more")
            resume.set()
            answer = await stream.read_to_end()
        self.assertTrue(answer.served, answer)
        self.assertEqual(await leaving.wait(stage.timing.grace_s + 1.0), 0)
        self.assertTrue((await stage.client.send(stage.data_planes[1], STREAM, "alpha")).served)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_requests_sent_before_the_platform_noticed_a_sigterm_are_answered(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(FIRST)
        leaving = stage.data_planes[0]
        leaving.terminate()
        await eventually(self.not_ready(stage, leaving), "the data plane is not ready any more")
        answers = await asyncio.gather(*(stage.client.send(leaving, PAGE) for _ in range(5)))
        for answer in answers:
            self.assertTrue(answer.status in (429, 503) or answer.served, answer)
        self.assertEqual(await leaving.wait(stage.timing.grace_s + 1.0), 0)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_restarted_data_plane_serves_the_newest_configuration(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=2))
        await stage.begin_day(FIRST)
        restarted = stage.data_planes[0]
        await restarted.kill()
        await stage.configure(SECOND, 3)
        await restarted.start()
        await stage.wait_until_ready(restarted)
        answer = await stage.client.send(restarted, SECOND.route("new"))
        self.assertTrue(answer.served, answer)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_sighup_cuts_nothing(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        engines = await stage.begin_day(FIRST)
        resume = asyncio.Event()
        inject_into_any(engines, Pause(resume, after_event=1))
        async with stage.client.open(stage.data_planes[0], STREAM, "alpha") as stream:
            await stream.read_event()
            stage.data_planes[0].hang_up()
            self.assertTrue((await stage.client.send(stage.data_planes[0], PAGE)).served)
            resume.set()
            answer = await stream.read_to_end()
        self.assertTrue(answer.served, answer)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    def not_ready(self, stage: SystemStage, machine: SystemProcess) -> Callable[[], Awaitable[bool]]:
        """A condition: the machine doesn't call itself ready."""

        async def condition() -> bool:
            return not await stage.is_ready(machine)

        return condition


class ControlPlaneTest(unittest.IsolatedAsyncioTestCase):
    """Control planes that end, freeze or lose their disk."""

    async def read(self, stage: SystemStage) -> object:
        """The configuration as the operator reads it."""
        return (await stage.operator.get()).json()

    async def test_next_change_is_taken_after_the_primary_was_killed(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        await stage.configure(SECOND, 3)
        await (await stage.find_primary()).kill()
        self.assertTrue((await stage.client.send(stage.data_planes[0], STREAM, "alpha")).served)
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200, "sent again to the successor")
        await stage.configure(THIRD, 8)
        self.assertEqual(await self.read(stage), THIRD.document())
        for data_plane in stage.data_planes:
            await stage.client.send_until_served(data_plane, THIRD.route("newer"), within_s=2.0)
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_killed_primary_returns_and_follows(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        first_primary = await stage.find_primary()
        await first_primary.kill()
        await stage.configure(SECOND, 3)
        await first_primary.start()
        await eventually(lambda: stage.answers_as(first_primary, SECOND), "the first primary follows")
        second_primary = await stage.find_primary()
        await second_primary.kill()
        self.assertEqual(await self.read(stage), SECOND.document())
        await stage.configure(THIRD, 8)

    async def test_all_killed_at_once_give_the_newest_after_their_restart(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        engines = await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "beta")
        await stage.configure(SECOND, 3)
        await asyncio.gather(*(machine.kill() for machine in stage.control_planes))
        served = await stage.client.send(stage.data_planes[0], STREAM, "alpha")
        self.assertTrue(served.served, "requests need no control plane")
        await asyncio.gather(*(machine.start() for machine in stage.control_planes))
        self.assertEqual(await self.read(stage), SECOND.document())
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200)
        self.assertEqual((await stage.operator.put(replace(THIRD, version=12), 3)).status, 412)
        await stage.configure(THIRD, 8)
        for name in ("new", "newer"):
            await stage.client.send_until_served(stage.data_planes[0], THIRD.route(name))
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "gamma")
        for worker in engines:
            self.assertEqual(fences_of(worker), sorted(fences_of(worker)))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_whole_system_killed_at_once_serves_again(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=2))
        await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        await stage.configure(SECOND, 3)
        await asyncio.gather(*(machine.kill() for machine in stage.processes))
        await asyncio.gather(*(machine.start() for machine in stage.processes))
        self.assertEqual(await self.read(stage), SECOND.document())
        await stage.wait_until_ready()
        for data_plane in stage.data_planes:
            await stage.client.send_until_served(data_plane, STREAM, "alpha")
            await stage.client.send_until_served(data_plane, SECOND.route("new"))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_disk_lost_while_every_other_machine_is_killed_loses_nothing(self) -> None:
        """The end of a day: right after an acknowledgement, the data planes among the others."""
        for of_primary in (True, False):
            with self.subTest(of_primary=of_primary):
                async with SystemStage(data_planes=2) as stage:
                    await self.lose_a_disk_and_every_process(stage, of_primary)

    async def lose_a_disk_and_every_process(self, stage: SystemStage, of_primary: bool) -> None:
        await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        primary = await stage.find_primary()
        victim = next(m for m in stage.control_planes if (m is primary) is of_primary)
        await stage.configure(SECOND, 3)
        await asyncio.gather(*(machine.kill() for machine in stage.processes))
        victim.wipe()
        await asyncio.gather(*(machine.start() for machine in stage.processes))
        self.assertEqual(await self.read(stage), SECOND.document())
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200)
        await stage.wait_until_ready()
        for data_plane in stage.data_planes:
            await stage.client.send_until_served(data_plane, SECOND.route("new"))
        await eventually(lambda: stage.answers_as(victim, SECOND), "the wiped machine follows")
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_wiped_machine_takes_part_again(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        primary = await stage.find_primary()
        wiped, other = [machine for machine in stage.control_planes if machine is not primary]
        await wiped.kill()
        wiped.wipe()
        await stage.configure(SECOND, 3)
        await wiped.start()
        await eventually(lambda: stage.takes_part(wiped, SECOND), "the wiped machine takes part")
        await other.kill()
        await stage.configure(THIRD, 8)
        self.assertEqual(await self.read(stage), THIRD.document())

    async def test_replaced_machine_at_another_address_takes_part(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        gone, kept, _ = stage.control_planes
        successor = await stage.replace_control_plane(gone)
        await stage.configure(SECOND, 3)
        await eventually(lambda: stage.takes_part(successor, SECOND), "the new machine takes part")
        await kept.kill()
        await stage.configure(THIRD, 8)
        self.assertEqual(await self.read(stage), THIRD.document())
        await stage.client.send_until_served(stage.data_planes[0], THIRD.route("newer"))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_wiped_primary_loses_nothing(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        await stage.configure(SECOND, 3)
        primary = await stage.find_primary()
        await primary.kill()
        primary.wipe()
        await primary.start()
        self.assertEqual(await self.read(stage), SECOND.document())
        await stage.configure(THIRD, 8)
        await eventually(lambda: stage.answers_as(primary, THIRD), "the wiped machine follows")

    async def test_wiped_machine_alone_claims_nothing(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        wiped, *others = stage.control_planes
        await asyncio.gather(*(machine.kill() for machine in stage.control_planes))
        wiped.wipe()
        await wiped.start()
        await eventually(lambda: stage.listens(wiped), "the wiped machine listens")
        stage.operator.addresses = [wiped.control_address]
        with self.assertRaises(StageError):
            await stage.operator.get(UNANSWERED_S)
        with self.assertRaises(StageError):
            await stage.operator.call("PUT", SECOND.encode(), 0, UNANSWERED_S)
        stage.operator.addresses = stage.control_addresses
        await asyncio.gather(*(machine.start() for machine in others))
        self.assertEqual(await self.read(stage), FIRST.document())

    async def test_frozen_primary_does_not_go_back_when_it_thaws(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        await stage.begin_day(FIRST)
        await stage.wait_for_control_planes(FIRST)
        frozen = await stage.find_primary()
        frozen.freeze()
        await stage.configure(SECOND, 3)
        frozen.thaw()
        answer = await stage.operator.attempt(frozen.control_address, "PUT", THIRD.encode(), 3)
        if answer is not None:
            self.assertNotEqual(answer.status, 200, "a second change on the base 3")
        self.assertEqual(await self.read(stage), SECOND.document())
        await eventually(lambda: stage.answers_as(frozen, SECOND), "the thawed machine follows")
        await stage.client.send_until_served(stage.data_planes[0], SECOND.route("new"))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_change_without_a_clear_answer_is_taken_when_sent_again(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        primary = await stage.find_primary()
        backups = [machine for machine in stage.control_planes if machine is not primary]
        for machine in backups:
            machine.freeze()
        answer = await stage.operator.attempt(primary.control_address, "PUT", SECOND.encode(), 3)
        self.assertTrue(answer is None or answer.status >= 500, answer)
        for machine in backups:
            machine.thaw()
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200)
        self.assertEqual((await stage.operator.put(replace(THIRD, version=12), 3)).status, 412)
        self.assertEqual(await self.read(stage), SECOND.document())

    async def test_orders_go_on_under_a_higher_fence_after_the_primary_was_killed(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=1))
        (engine,) = await stage.begin_day(FIRST, held=[()])
        await stage.wait_for_control_planes(FIRST)
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "alpha")
        before = fences_of(engine)
        await (await stage.find_primary()).kill()
        await stage.client.send_until_served(stage.data_planes[0], STREAM, "beta")
        after = fences_of(engine)[len(before) :]
        self.assertTrue(before)
        self.assertTrue(after)
        self.assertGreater(min(after), max(before))
        self.assertEqual(stage.broken_rules(LOADS_PER_S), [])

    async def test_one_control_plane_of_three_takes_nothing(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.wait_for_control_planes(FIRST)
        alone, *others = stage.control_planes
        await asyncio.gather(*(machine.kill() for machine in others))
        with self.assertRaises(StageError):
            await stage.operator.call("PUT", SECOND.encode(), 3, UNANSWERED_S)
        await asyncio.gather(*(machine.start() for machine in others))
        read = await self.read(stage)
        self.assertIn(read, (FIRST.document(), SECOND.document()), "no clear answer: in force or not")
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200, "sent again, it is taken")
        self.assertTrue(alone.running)
