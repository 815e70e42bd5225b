"""The operator's calls on the whole system: what is taken, refused, repeated, read back and in force."""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace
from functools import partial

from rookwood.lab.emulatedworker.weights import JsonObject
from rookwood.lab.systemstage.configuration import (
    Configuration,
    ConfigurationPatch,
    RouteKind,
    RouteSpec,
    small_configuration,
)
from rookwood.lab.systemstage.machines import SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from rookwood.lab.systemstage.waiting import eventually

FIRST: Configuration = small_configuration(version=3)
NEW_ROUTE = RouteSpec("new", "pages", "/new/", RouteKind.MUTATING)
SECOND: Configuration = FIRST.with_route(8, NEW_ROUTE)
OTHER: Configuration = FIRST.with_route(9, replace(NEW_ROUTE, prefix="/other/"))
APPLY_S = 2.0


def invalid_documents() -> dict[str, tuple[JsonObject, str]]:
    """Invalid configurations on top of FIRST, each with the key that the answer must name."""
    version: JsonObject = {"ver": 8}
    routes = [route.document() for route in FIRST.routes]
    first = routes[0]
    unknown_service = [{**first, "svc": "nobody"}, *routes[1:]]
    zero_timeout = [{**first, "timeout-ms": 0}, *routes[1:]]
    same_prefix = [*routes, {**first, "name": "copy"}]
    no_service = {key: value for key, value in first.items() if key != "svc"}
    zero_weights = [{**no_service, "split": [{"svc": "pages", "wt": 0}]}, *routes[1:]]
    return {
        "unknown service": (FIRST.document() | version | {"routes": unknown_service}, "svc"),
        "zero time-out": (FIRST.document() | version | {"routes": zero_timeout}, "timeout-ms"),
        "same host and prefix": (FIRST.document() | version | {"routes": same_prefix}, "pfx"),
        "weights of sum zero": (FIRST.document() | version | {"routes": zero_weights}, "split"),
        "version not above": (FIRST.document() | {"ver": 3}, "ver"),
        "routes of the wrong type": (FIRST.document() | version | {"routes": 7}, "routes"),
    }


async def is_served(stage: SystemStage, data_plane: SystemProcess, route: RouteSpec) -> bool:
    """Whether a request of that route is served now."""
    return (await stage.client.send(data_plane, route)).served


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    """Answers to changes."""

    async def test_taken_repeated_conflicting_and_later_changes(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=0))
        operator = stage.operator
        self.assertEqual((await operator.put(FIRST, 0)).status, 200)
        self.assertEqual((await operator.put(FIRST, 0)).status, 200, "sent again")
        self.assertEqual((await operator.put(SECOND, 3)).status, 200)
        self.assertEqual((await operator.put(SECOND, 3)).status, 200, "sent again")
        self.assertEqual((await operator.put(OTHER, 3)).status, 412, "another change on the same base")
        self.assertEqual((await operator.put(FIRST, 0)).status, 200, "sent again after a later one")
        self.assertEqual((await operator.get()).json(), SECOND.document())

    async def test_every_machine_gives_the_same_answers(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(data_planes=0))
        await stage.configure(FIRST)
        await stage.configure(SECOND, 3)
        for address in list(stage.control_addresses):
            stage.operator.addresses = [address]
            self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200, address)
            self.assertEqual((await stage.operator.put(OTHER, 3)).status, 412, address)
            self.assertEqual((await stage.operator.get()).json(), SECOND.document(), address)

    async def test_patch_changes_named_items_only(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=0))
        await stage.configure(FIRST)
        patch = ConfigurationPatch(8, upsert_routes=(NEW_ROUTE,), remove_routes=("lookup",))
        for _ in range(2):
            self.assertEqual((await stage.operator.patch(patch, 3)).status, 200)
        read = (await stage.operator.get()).json()
        assert isinstance(read, dict)
        names = [route["name"] for route in read["routes"]]
        self.assertEqual(sorted(names), ["new", "once", "page", "resumable"])
        self.assertEqual((read["ver"], read["svcs"]), (8, FIRST.document()["svcs"]))

    async def test_invalid_changes_are_refused_by_key_and_not_in_force(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=0))
        await stage.configure(FIRST)
        for name, (document, key) in invalid_documents().items():
            with self.subTest(name):
                answer = await stage.operator.call("PUT", json.dumps(document).encode(), 3)
                self.assertEqual(answer.status // 100, 4, answer)
                self.assertIn(key, answer.body.decode())
        truncated = await stage.operator.call("PUT", SECOND.encode()[:-7], 3)
        self.assertEqual(truncated.status // 100, 4, truncated)
        self.assertEqual((await stage.operator.get()).json(), FIRST.document())
        self.assertEqual((await stage.operator.put(SECOND, 3)).status, 200, "a valid one is still taken")

    async def test_of_two_operators_on_one_base_one_wins(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=0))
        await stage.configure(FIRST)
        answers = await asyncio.gather(stage.operator.put(SECOND, 3), stage.operator.put(OTHER, 3))
        self.assertEqual(sorted(answer.status for answer in answers), [200, 412])
        winner = (SECOND, OTHER)[[answer.status for answer in answers].index(200)]
        self.assertEqual((await stage.operator.get()).json(), winner.document())


class InForceTest(unittest.IsolatedAsyncioTestCase):
    """Configurations at the data planes."""

    async def test_change_is_served_by_every_data_plane_within_its_bound(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=3))
        await stage.begin_day(FIRST)
        for data_plane in stage.data_planes:
            before = await stage.client.send(data_plane, NEW_ROUTE)
            self.assertEqual(before.status, 404)
        await stage.configure(SECOND, 3)
        for data_plane in stage.data_planes:
            in_force = partial(is_served, stage, data_plane, NEW_ROUTE)
            await eventually(in_force, f"{data_plane.name} serves the new route", APPLY_S)
        self.assertEqual(stage.broken_rules(), [])

    async def test_route_moves_to_another_service_and_goes(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=1))
        await stage.begin_day(FIRST)
        spare = await stage.add_worker(FIRST.service("spare"))
        await stage.wait_for_workers(spare)
        page = FIRST.route("page")
        await stage.configure(FIRST.with_route(5, replace(page, service="spare")), 3)

        async def moved() -> bool:
            await stage.client.send(stage.data_planes[0], page)
            return bool(spare.records.runs)

        await eventually(moved, "the other service runs the route's requests", APPLY_S)
        removal = ConfigurationPatch(6, remove_routes=("page",))
        self.assertEqual((await stage.operator.patch(removal, 5)).status, 200)

        async def gone() -> bool:
            return (await stage.client.send(stage.data_planes[0], page)).status == 404

        await eventually(gone, "the removed route is a 404", APPLY_S)
        self.assertEqual(stage.broken_rules(), [])

    async def test_many_routes_at_once_are_in_force(self) -> None:
        stage = await self.enterAsyncContext(SystemStage(control_planes=1, data_planes=2))
        await stage.begin_day(FIRST)
        routes = tuple(replace(NEW_ROUTE, name=f"new-{n}", prefix=f"/new-{n}/") for n in range(350))
        answer = await stage.operator.patch(ConfigurationPatch(8, upsert_routes=routes), 3)
        self.assertEqual(answer.status, 200)
        for data_plane in stage.data_planes:
            in_force = partial(is_served, stage, data_plane, routes[-1])
            await eventually(in_force, f"{data_plane.name} serves the last route", APPLY_S)
        self.assertEqual(stage.broken_rules(), [])
