"""What a process of a system stage may take, whatever its callers and its workers do."""

from __future__ import annotations

import unittest

from rookwood.lab.systemstage.configuration import Configuration, small_configuration
from rookwood.lab.systemstage.machines import MachineLimits, SystemProcess
from rookwood.lab.systemstage.stage import SystemStage
from tests.crowds.footprint import Footprint

LIMITS = MachineLimits(memory_mb=128, descriptors=600)
FILE_DESCRIPTORS = 200  # of a process's descriptors, kept for files that are no sockets
SERVED_WITHIN_S = 60.0
CONFIGURATION: Configuration = small_configuration()


class BoundsCase(unittest.IsolatedAsyncioTestCase):
    """A stage, one of whose processes is watched."""

    stage: SystemStage
    watched: SystemProcess
    watched_process_id: int
    footprint: Footprint

    async def start_stage(self, control_planes: int, data_planes: int) -> None:
        """Start processes with low limits."""
        stage = SystemStage(control_planes=control_planes, data_planes=data_planes, limits=LIMITS)
        self.stage = await self.enterAsyncContext(stage)

    async def watch(self, machine: SystemProcess) -> None:
        """Watch what a process takes from now on."""
        process_id = machine.process_id
        assert process_id is not None
        self.watched, self.watched_process_id = machine, process_id
        self.footprint = await self.enterAsyncContext(Footprint(process_id, machine.settings.ip))

    def check_footprint(self) -> None:
        """The process still runs, and passed no bound until now."""
        self.assertEqual(self.watched.process_id, self.watched_process_id, "the process ended")
        self.assertLessEqual(self.footprint.peak_mb, LIMITS.memory_mb)
        self.assertLessEqual(self.footprint.peak_sockets, LIMITS.descriptors - FILE_DESCRIPTORS)
