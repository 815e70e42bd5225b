"""Disks in trouble, under control groups and under the storage itself: full, stalled, slow, torn."""

import asyncio
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from rookwood.coordination import group
from rookwood.coordination.document import Record
from rookwood.coordination.group import Backup, Committed, Primary
from rookwood.coordination.storage import MARKER, Empty, Found
from rookwood.coordination.storage_thread import StorageThread
from rookwood.lab.faulty_disk import FaultyStorage, tear_slot_in_turn
from rookwood.lab.systemstage.waiting import eventually
from tests.test_coordination_group import FIRST_MEMBERS, Cluster

REPOSITORY = Path(__file__).parent.parent

# A limit on the length of files has writes fail inside lmdb, as on a full disk.
FULL_DISK_SCRIPT = """
import resource, sys
from rookwood.coordination.document import Configuration, Document, Member, Position, Record
from rookwood.coordination.storage import Found, Storage

def record(count):
    document = Document(Position(1, count), Configuration((Member("10.0.0.1"),)), bytes([count]) * 160_000)
    return Record(5, count, True, document)

storage = Storage(sys.argv[1], 128)
storage.load()
assert all(storage.save(record(count)) for count in range(1, 5))
unlimited = resource.getrlimit(resource.RLIMIT_FSIZE)
for limit in (0, 1, 4096, 8192, 100_000):
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit, unlimited[1]))
    for _ in range(5):
        assert not storage.save(record(5)), limit
        assert storage.load() == Found(record(4)), limit
    resource.setrlimit(resource.RLIMIT_FSIZE, unlimited)
    assert storage.save(record(4)), limit
assert storage.save(record(6))
storage.close()
assert Storage(sys.argv[1], 128).load() == Found(record(6))
print("healed")
"""

FULL_AT_START_SCRIPT = """
import resource, sys
from rookwood.coordination.document import Record
from rookwood.coordination.storage import Empty, Found, Storage

unlimited = resource.getrlimit(resource.RLIMIT_FSIZE)
for limit in (0, 4096, 8192):
    storage = Storage(sys.argv[1], 128)
    resource.setrlimit(resource.RLIMIT_FSIZE, (limit, unlimited[1]))
    for _ in range(3):
        assert storage.load() == Empty(), limit
        assert not storage.save(Record(0)), limit
    resource.setrlimit(resource.RLIMIT_FSIZE, unlimited)
    storage.close()
storage = Storage(sys.argv[1], 128)
assert storage.load() == Empty()
assert storage.save(Record(0, 1))
assert storage.load() == Found(Record(0, 1))
print("healed")
"""


STALLED_AT_END_SCRIPT = """
import asyncio, sys, threading
from rookwood.coordination.storage_thread import StorageThread

async def main():
    thread = StorageThread("storage")
    hanging = asyncio.ensure_future(thread.run(threading.Event().wait))
    await asyncio.wait([hanging], timeout=0.05)
    thread.close()
    hanging.cancel()

asyncio.run(main())
print("ended", flush=True)
"""


class StorageThreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_jobs_run_in_their_order_and_raise_to_whoever_gave_them(self) -> None:
        thread = StorageThread("test")
        self.addCleanup(thread.close)
        done: list[int] = []
        await asyncio.gather(*(thread.run(done.append, number) for number in range(5)))
        self.assertEqual([0, 1, 2, 3, 4], done)
        with self.assertRaises(ZeroDivisionError):
            await thread.run(lambda: 1 // 0)
        self.assertEqual(7, await thread.run(int, "7"))

    async def test_a_process_ends_while_its_disk_hangs(self) -> None:
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-c", STALLED_AT_END_SCRIPT],
            cwd=REPOSITORY,
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual((0, "ended"), (done.returncode, done.stdout.strip()))


class FullDiskTest(unittest.TestCase):
    def run_script(self, script: str) -> str:
        """Run a script in a process of its own, with an empty folder as its argument."""
        with tempfile.TemporaryDirectory() as directory:
            done = subprocess.run(
                [sys.executable, "-c", script, directory], cwd=REPOSITORY, capture_output=True, text=True
            )
        return done.stdout.strip() or done.stderr

    def test_storage_heals_after_its_disk_refused_every_write(self) -> None:
        self.assertEqual(self.run_script(FULL_DISK_SCRIPT), "healed")

    def test_storage_that_starts_on_a_full_disk_is_empty_and_heals(self) -> None:
        self.assertEqual(self.run_script(FULL_AT_START_SCRIPT), "healed")


class FaultyStorageTest(unittest.TestCase):
    def test_first_write_that_comes_out_torn_leaves_an_empty_storage(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            storage = FaultyStorage(directory, 128)
            storage.load()
            storage.tear_next_write()
            self.assertFalse(storage.save(Record(5, 1)))
            self.assertEqual(storage.load(), Empty())
            self.assertTrue(storage.save(Record(5, 2)))
            storage.tear_next_write()
            self.assertFalse(storage.save(Record(5, 3)))
            self.assertEqual(storage.load(), Found(Record(5, 2)))
            storage.close()


class DiskTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.cluster = Cluster(directory.name)
        self.addAsyncCleanup(self.cluster.stop_all)

    async def begin(self) -> tuple[str, FaultyStorage]:
        """Three members with one commit; returns the primary and its disk."""
        await self.cluster.start_all()
        primary = await self.cluster.until_led()
        await self.commit_anywhere(b"a")
        return primary, self.cluster.disks[primary]

    async def commit_anywhere(self, text: bytes) -> None:
        """Have a change taken by whoever is primary, sent again while it gets no clear answer."""

        def once(payload: bytes) -> bytes:
            return payload if payload.endswith(text) else payload + text

        async with asyncio.timeout(15):
            while True:
                await self.cluster.until(lambda: self.cluster.primary_address() is not None)
                primary = self.cluster.primary_address()
                if primary is None:
                    continue
                if isinstance(await self.cluster.groups[primary].propose(once, limit=1.5), Committed):
                    return

    async def until_refused(self, disk: FaultyStorage) -> None:
        """Wait until a disk has refused a write."""
        await eventually(lambda: disk.writes_refused > 0, "a write was refused")

    async def until_all_hold(self, payload: bytes) -> None:
        """Wait until every member has this payload."""
        await self.cluster.until(lambda: all(self.cluster.payload(ip) == payload for ip in FIRST_MEMBERS))

    async def until_replaced(self, primary: str) -> None:
        """Wait until another member leads."""
        await self.cluster.until(lambda: self.cluster.primary_address() not in (None, primary))

    async def test_primary_whose_disk_is_full_hands_over_and_follows_once_it_has_room(self) -> None:
        primary, disk = await self.begin()
        disk.full = True
        await self.commit_anywhere(b"b")
        self.assertNotEqual(self.cluster.primary_address(), primary)
        self.assertGreater(disk.writes_refused, 0)
        disk.full = False
        await self.until_all_hold(b"ab")
        self.assertIn(primary, self.cluster.groups[primary].members())
        await self.cluster.until_led()
        await self.commit_anywhere(b"c")
        await self.until_all_hold(b"abc")

    async def test_backup_whose_disk_is_full_holds_nothing_up(self) -> None:
        primary, _ = await self.begin()
        backup = next(ip for ip in FIRST_MEMBERS if ip != primary)
        self.cluster.disks[backup].full = True
        await self.commit_anywhere(b"b")
        self.cluster.disks[backup].full = False
        await self.until_all_hold(b"ab")

    async def test_primary_whose_disk_stalls_hands_over_and_follows_once_it_goes_on(self) -> None:
        primary, disk = await self.begin()
        disk.stall()
        await self.commit_anywhere(b"b")
        self.assertNotEqual(self.cluster.primary_address(), primary)
        disk.resume()
        await self.until_all_hold(b"ab")

    async def test_machine_that_stops_does_not_wait_for_a_disk_that_hangs(self) -> None:
        """The process ends all the same; a write under way is in doubt, as after a kill."""
        self.enterContext(patch.object(group, "CLOSE_LIMIT", 0.05))
        primary, disk = await self.begin()
        disk.stall()
        await self.commit_anywhere(b"b")
        async with asyncio.timeout(10):
            await self.cluster.groups[primary].stop()
        disk.resume()

    async def test_slow_disks_take_changes(self) -> None:
        await self.begin()
        for disk in self.cluster.disks.values():
            disk.delay = 0.05
        await self.commit_anywhere(b"b")
        await self.until_all_hold(b"ab")

    async def test_torn_write_of_the_primary_loses_nothing(self) -> None:
        _, disk = await self.begin()
        disk.tear_next_write()
        await self.commit_anywhere(b"b")
        await self.until_all_hold(b"ab")

    async def test_all_torn_in_the_middle_of_a_write_come_back_with_what_was_acknowledged(self) -> None:
        await self.begin()
        await self.commit_anywhere(b"b")
        await asyncio.gather(*(self.cluster.stop(ip) for ip in FIRST_MEMBERS))
        for ip in FIRST_MEMBERS:
            tear_slot_in_turn(self.cluster.directory(ip), 128)
        await asyncio.gather(*(self.cluster.start(ip, bootstrap=False) for ip in FIRST_MEMBERS))
        await self.until_all_hold(b"ab")

    async def test_first_members_whose_disks_are_full_form_a_group_once_there_is_room(self) -> None:
        for full in (FIRST_MEMBERS[:1], FIRST_MEMBERS):
            with self.subTest(full=len(full)):
                self.cluster.full_at_start = frozenset(full)
                await self.cluster.start_all()
                for ip in full:
                    await self.until_refused(self.cluster.disks[ip])
                for ip in full:
                    self.cluster.disks[ip].full = False
                await self.commit_anywhere(b"a")
                await self.until_all_hold(b"a")
                for ip in FIRST_MEMBERS:
                    await eventually((Path(self.cluster.directory(ip)) / MARKER).exists, "it has stored it")
                roles = [group.role() for group in self.cluster.groups.values()]
                self.assertTrue(all(isinstance(role, Primary | Backup) for role in roles), roles)
                await self.cluster.stop_all()
                for ip in FIRST_MEMBERS:
                    self.cluster.wipe(ip)


if __name__ == "__main__":
    unittest.main()
