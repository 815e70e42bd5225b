"""Control groups over loopback sockets in one process: commit, failover, recovery, replacement, transfer."""

import asyncio
import shutil
import tempfile
import unittest
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from unittest.mock import patch

from rookwood.coordination.document import MAX_PAYLOAD_BYTES
from rookwood.coordination.group import (
    Backup,
    Committed,
    Confirmed,
    ControlGroup,
    Declined,
    GroupSettings,
    Learner,
    NotPrimary,
    Overloaded,
    PayloadTooLarge,
    Primary,
    Role,
    Snapshot,
    Unattached,
    Uncertain,
)
from rookwood.coordination.proposals import MAX_WAITING_CHANGES
from rookwood.coordination.timing import Timing
from rookwood.lab.faulty_disk import FaultyStorage
from rookwood.lab.free_ports import find_free_port
from rookwood.lab.raw_http import reset_connection

FIRST_MEMBERS = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
NEWCOMER = "127.0.0.4"
TIMEOUT = 15.0
COMMITS_OF_AN_ADMISSION = 2
CHANGES_DURING_RESETS = 12


class Cluster:
    """The control groups of one test, with an event that is set at each commit and role change."""

    def __init__(self, directory: str, timing: Timing | None = None) -> None:
        self._timing = timing or Timing()
        self.groups: dict[str, ControlGroup] = {}
        self.commits: dict[str, list[Snapshot]] = {}
        self.disks: dict[str, FaultyStorage] = {}
        self.full_at_start: frozenset[str] = frozenset()
        self._directory = Path(directory)
        self._port = find_free_port(*FIRST_MEMBERS, NEWCOMER)
        self._changed = asyncio.Event()

    async def start(self, ip: str, bootstrap: bool) -> ControlGroup:
        """Start the group of one machine."""
        settings = GroupSettings(
            ip=ip,
            port=self._port,
            listen_ip=ip,
            seeds=FIRST_MEMBERS,
            tolerate=1,
            bootstrap=bootstrap,
            directory=str(self._directory / ip),
            disk_mb=128,
            **asdict(self._timing),
        )
        self.commits[ip] = []

        def on_commit(snapshot: Snapshot) -> None:
            self.commits[ip].append(snapshot)
            self._changed.set()

        def on_role(role: Role) -> None:
            self._changed.set()

        self.disks[ip] = FaultyStorage(settings.directory, settings.disk_mb)
        self.disks[ip].full = ip in self.full_at_start
        group = ControlGroup(settings, on_commit=on_commit, on_role=on_role, storage=self.disks[ip])
        self.groups[ip] = group
        await group.start()
        return group

    async def start_all(self) -> None:
        """Start the first members, on empty disks."""
        for ip in FIRST_MEMBERS:
            await self.start(ip, bootstrap=True)

    async def stop(self, ip: str, transfer: bool = False) -> None:
        """Stop the group of one machine."""
        self.disks[ip].resume()
        await self.groups.pop(ip).stop(transfer)

    async def stop_all(self) -> None:
        """Stop all groups that are still running."""
        for ip in list(self.groups):
            await self.stop(ip)

    def directory(self, ip: str) -> str:
        """Return the directory of a machine's storage."""
        return str(self._directory / ip)

    def wipe(self, ip: str) -> None:
        """Delete the storage of a machine, if it has written any."""
        if (self._directory / ip).exists():
            shutil.rmtree(self._directory / ip)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked at each commit and role change."""
        async with asyncio.timeout(TIMEOUT):
            while not condition():
                self._changed.clear()
                await self._changed.wait()

    def primary_address(self) -> str | None:
        """Return the address of the primary, None if there is not exactly one."""
        primaries = [ip for ip, group in self.groups.items() if isinstance(group.role(), Primary)]
        return primaries[0] if len(primaries) == 1 else None

    async def until_led(self) -> str:
        """Wait for a primary that every other group follows, and return its address."""
        await self.until(self._is_led)
        primary = self.primary_address()
        assert primary is not None
        return primary

    def _is_led(self) -> bool:
        primary = self.primary_address()
        roles = [group.role() for ip, group in self.groups.items() if ip != primary]
        return primary is not None and all(
            isinstance(role, Backup) and role.primary == primary and role.is_fresh for role in roles
        )

    async def until_admitted(self, ip: str, before: int) -> None:
        """Wait until a wiped member is admitted: two commits after the sequence `before`."""
        await self.until(lambda: self.sequence(ip) >= before + COMMITS_OF_AN_ADMISSION)

    def sequence(self, ip: str) -> int:
        """Return the sequence of the newest committed document at one machine."""
        return self.groups[ip].snapshot().sequence

    def payload(self, ip: str) -> bytes:
        """Return the newest committed payload at one machine."""
        return self.groups[ip].snapshot().payload


def appending(text: bytes) -> Callable[[bytes], bytes | Declined]:
    return lambda payload: payload + text


def appending_once(text: bytes) -> Callable[[bytes], bytes | Declined]:
    """Return an idempotent change: it appends the text only where it is missing."""
    return lambda payload: payload if payload.endswith(text) else payload + text


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addAsyncCleanup(self.cluster.stop_all)

    async def commit(self, ip: str, text: bytes) -> None:
        outcome = await self.cluster.groups[ip].propose(appending(text))
        self.assertIsInstance(outcome, Committed)

    async def test_commit_reaches_every_member(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        await self.commit(primary, b"a")
        await self.cluster.until(lambda: all(self.cluster.payload(ip) == b"a" for ip in FIRST_MEMBERS))
        for snapshots in self.cluster.commits.values():
            positions = [(snapshot.epoch, snapshot.sequence) for snapshot in snapshots]
            self.assertEqual(positions, sorted(set(positions)))

    async def test_declined_change_is_resolved_and_not_committed(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        group = self.cluster.groups[primary]
        before = group.snapshot()
        outcome = await group.propose(lambda payload: Declined("stale"))
        self.assertEqual(outcome, Declined("stale"))
        self.assertEqual(group.snapshot(), before)

    async def test_concurrent_changes_are_applied_one_after_the_other(self) -> None:
        await self.cluster.start_all()
        group = self.cluster.groups[await self.cluster.until_led()]
        outcomes = await asyncio.gather(*(group.propose(appending(b"x")) for _ in range(20)))
        self.assertTrue(all(isinstance(outcome, Committed) for outcome in outcomes))
        self.assertEqual(group.snapshot().payload, b"x" * 20)

    async def test_changes_beyond_the_queue_limit_are_rejected_and_never_made(self) -> None:
        await self.cluster.start_all()
        group = self.cluster.groups[await self.cluster.until_led()]
        excess = 10
        changes = MAX_WAITING_CHANGES + 1 + excess  # one change is in flight
        proposed = [group.propose(appending(b"%d," % number), limit=TIMEOUT) for number in range(changes)]
        outcomes = await asyncio.gather(*proposed)
        self.assertEqual([Overloaded()] * excess, outcomes[-excess:])
        self.assertTrue(all(isinstance(outcome, Committed) for outcome in outcomes[:-excess]))
        made = b"".join(b"%d," % number for number in range(changes - excess))
        self.assertEqual(group.snapshot().payload, made)

    async def test_largest_payload_reaches_all_members_and_a_larger_one_changes_nothing(self) -> None:
        await self.cluster.start_all()
        group = self.cluster.groups[await self.cluster.until_led()]
        largest = bytes(MAX_PAYLOAD_BYTES)
        self.assertIsInstance(await group.propose(lambda payload: largest), Committed)
        outcome = await group.propose(appending(b"x"))
        self.assertEqual(outcome, Declined(PayloadTooLarge(MAX_PAYLOAD_BYTES + 1)))
        await self.cluster.until(lambda: all(self.cluster.payload(ip) == largest for ip in FIRST_MEMBERS))
        self.assertIsInstance(await group.propose(lambda payload: b"small"), Committed)

    async def test_backup_resolves_calls_as_not_primary(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        backup = next(ip for ip in FIRST_MEMBERS if ip != primary)
        group = self.cluster.groups[backup]
        self.assertEqual(await group.propose(appending(b"a")), NotPrimary(primary))
        self.assertEqual(await group.confirm(), NotPrimary(primary))

    async def test_confirm_returns_the_newest_document(self) -> None:
        await self.cluster.start_all()
        group = self.cluster.groups[await self.cluster.until_led()]
        await group.propose(appending(b"a"))
        self.assertEqual(await group.confirm(), Confirmed(group.snapshot()))

    async def test_nothing_commits_without_a_quorum(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        for ip in FIRST_MEMBERS:
            if ip != primary:
                await self.cluster.stop(ip)
        outcome = await self.cluster.groups[primary].propose(appending(b"a"))
        self.assertIsInstance(outcome, Uncertain | NotPrimary)

    async def test_document_survives_the_loss_of_the_primary(self) -> None:
        await self.cluster.start_all()
        first = await self.cluster.until_led()
        await self.commit(first, b"a")
        await self.cluster.stop(first)
        second = await self.cluster.until_led()
        self.assertEqual(self.cluster.payload(second), b"a")
        await self.commit(second, b"b")
        await self.cluster.start(first, bootstrap=True)
        await self.cluster.until_led()
        await self.cluster.until(lambda: self.cluster.payload(first) == b"ab")

    async def test_document_survives_a_restart_of_all_members(self) -> None:
        await self.cluster.start_all()
        await self.commit(await self.cluster.until_led(), b"a")
        await self.cluster.stop_all()
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        self.assertEqual(self.cluster.payload(primary), b"a")

    async def test_wiped_member_recovers(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        wiped = next(ip for ip in FIRST_MEMBERS if ip != primary)
        await self.cluster.stop(wiped)
        await self.commit(primary, b"a")
        self.cluster.wipe(wiped)
        before = self.cluster.sequence(primary)
        await self.cluster.start(wiped, bootstrap=False)
        await self.cluster.until_led()
        await self.cluster.until_admitted(wiped, before)
        self.assertEqual(self.cluster.payload(wiped), b"a")
        await self.cluster.stop(primary)
        second = await self.cluster.until_led()
        self.assertEqual(self.cluster.payload(second), b"a")

    async def test_wiped_member_waits_for_a_majority_of_the_others(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        first, second = (ip for ip in FIRST_MEMBERS if ip != primary)
        await self.commit(primary, b"a")
        await self.cluster.stop(primary)
        await self.cluster.stop(first)
        self.cluster.wipe(first)
        await self.cluster.start(first, bootstrap=False)
        wiped = self.cluster.groups[first]
        await self.cluster.until(lambda: wiped.role() == Unattached("recovering"))
        self.assertIsNone(self.cluster.primary_address())
        await self.cluster.start(primary, bootstrap=True)
        leader = await self.cluster.until_led()
        self.assertEqual(self.cluster.payload(leader), b"a")

    async def test_member_is_replaced_by_a_machine_at_another_address(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        await self.commit(primary, b"a")
        stopped = next(ip for ip in FIRST_MEMBERS if ip != primary)
        await self.cluster.stop(stopped)
        newcomer = await self.cluster.start(NEWCOMER, bootstrap=False)
        await self.cluster.until(lambda: NEWCOMER in newcomer.members() and stopped not in newcomer.members())
        await self.cluster.until_led()
        await self.cluster.stop(primary)
        second = await self.cluster.until_led()
        self.assertEqual(self.cluster.payload(second), b"a")
        self.assertNotIn(stopped, self.cluster.groups[second].members())

    async def test_removed_member_returns_as_a_learner(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        stopped = next(ip for ip in FIRST_MEMBERS if ip != primary)
        await self.cluster.stop(stopped)
        newcomer = await self.cluster.start(NEWCOMER, bootstrap=False)
        await self.cluster.until(lambda: stopped not in newcomer.members() and NEWCOMER in newcomer.members())
        await self.commit(primary, b"a")
        returned = await self.cluster.start(stopped, bootstrap=True)
        await self.cluster.until(lambda: returned.snapshot().payload == b"a")
        self.assertNotIn(stopped, returned.members())
        epoch = self.cluster.groups[primary].snapshot().epoch
        await self.cluster.until(lambda: returned.role() == Learner(primary, epoch, in_contact=True))

    async def test_repeated_connection_resets_lose_no_committed_change(self) -> None:
        """Committed changes must survive connection resets between control machines; others are repeated."""
        await self.cluster.start_all()
        await self.cluster.until_led()
        committed = b""
        for number in range(CHANGES_DURING_RESETS):
            text = b"%d," % number
            target = FIRST_MEMBERS[number % len(FIRST_MEMBERS)]
            outcome: object = None
            while not isinstance(outcome, Committed):
                await self.cluster.until(lambda: self.cluster.primary_address() is not None)
                primary = self.cluster.primary_address() or target
                proposing = asyncio.create_task(
                    self.cluster.groups[primary].propose(appending_once(text), limit=1.0)
                )
                await asyncio.sleep(0)
                self.reset_connections(target)
                outcome = await proposing
            committed += text
            self.assertEqual(committed, outcome.snapshot.payload)
        await self.cluster.until(lambda: all(self.cluster.payload(ip) == committed for ip in FIRST_MEMBERS))

    def reset_connections(self, ip: str) -> None:
        """Reset all connections between a member and the others."""
        transport = self.cluster.groups[ip].transport
        opened = [link.writer for link in transport._links.values() if link.writer is not None]
        accepted = [incoming.writer for incoming in transport._incoming.values()]
        for writer in (*opened, *accepted):
            reset_connection(writer)

    async def test_planned_transfer_takes_little_time_without_a_primary(self) -> None:
        await self.cluster.start_all()
        first = await self.cluster.until_led()
        await self.commit(first, b"a")
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.cluster.stop(first, transfer=True)
        second = await self.cluster.until_led()
        self.assertLess(loop.time() - began, 0.6)
        self.assertNotEqual(second, first)
        self.assertEqual(self.cluster.payload(second), b"a")

    async def test_foreign_file_at_a_first_start_counts_as_lost_storage(self) -> None:
        for name in ("control-a.mdb", "control-b.mdb"):
            path = Path(self.cluster.directory(FIRST_MEMBERS[0])) / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(b"someone else's" * 1000)
            with self.assertLogs("rookwood", "ERROR") as logs:
                group = await self.cluster.start(FIRST_MEMBERS[0], bootstrap=True)
            self.assertIn("storage lost", logs.output[0])
            self.assertEqual(group.members(), ())
            await self.cluster.stop(FIRST_MEMBERS[0])
            self.cluster.wipe(FIRST_MEMBERS[0])

    async def test_reachable_members_are_those_that_sent_messages_lately(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        group = self.cluster.groups[primary]
        self.assertEqual(group.reachable_members(), frozenset(FIRST_MEMBERS))
        self.assertEqual(group.members(), FIRST_MEMBERS)

    async def test_nothing_is_written_after_the_storage_was_closed(self) -> None:
        group = await self.cluster.start(FIRST_MEMBERS[0], bootstrap=True)
        disk = self.cluster.disks[FIRST_MEMBERS[0]]
        steps: list[str] = []
        with (
            patch.object(disk, "save", side_effect=lambda record: steps.append("save")),
            patch.object(disk, "close", side_effect=lambda: steps.append("close")),
        ):
            await self.cluster.stop(FIRST_MEMBERS[0])
            await asyncio.to_thread(group._storage_thread.join)
        self.assertEqual(["save", "close"], steps)

    async def test_calls_pending_at_stop_are_resolved(self) -> None:
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        for ip in FIRST_MEMBERS:
            if ip != primary:
                await self.cluster.stop(ip)
        pending = asyncio.create_task(self.cluster.groups[primary].propose(appending(b"a"), limit=30.0))
        await asyncio.wait([pending], timeout=0)
        await self.cluster.stop(primary)
        self.assertIsInstance(await pending, Uncertain | NotPrimary)
