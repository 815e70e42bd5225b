"""Answers without end to a command of the operator: it gives up in time, and stays within bounds."""

from __future__ import annotations

import asyncio
import sys
import unittest

from rookwood.lab.emulatedworker.settings import WorkerSettings
from rookwood.lab.endless_worker import EndlessForm, EndlessWorker
from tests.crowds.footprint import MEBIBYTE, Footprint

MOST_BYTES = 9 * MEBIBYTE  # of an answer, with what buffers hold
MOST_MB = 128
GIVES_UP_WITHIN_S = 60.0
UNREACHABLE = 1  # exit status
FORMS = (
    EndlessForm.GARBAGE,
    EndlessForm.STATUS_LINE,
    EndlessForm.FIELDS,
    EndlessForm.CONTINUES,
    EndlessForm.STATED_LENGTH,
    EndlessForm.UNTIL_CLOSE,
    EndlessForm.LARGE_CHUNKS,
    EndlessForm.SMALL_CHUNKS,
    EndlessForm.CHUNK_SIZE,
    EndlessForm.CHUNK_EXTENSIONS,
    EndlessForm.TRAILERS,
)


class EndlessCommandAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_control_status_gives_up_answers_without_end(self) -> None:
        for form in FORMS:
            with self.subTest(form=form.value):
                await self.check(form)

    async def check(self, form: EndlessForm) -> None:
        machine = EndlessWorker(WorkerSettings("none"), form, ())
        await machine.start()
        self.addAsyncCleanup(machine.stop)
        words = ("-c", "from rookwood.cli.main import main; main()", "control", "status", machine.address)
        command = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL
        )
        try:
            async with Footprint(command.pid, None) as footprint, asyncio.timeout(GIVES_UP_WITHIN_S):
                status = await command.wait()
            self.assertEqual(status, UNREACHABLE)
            self.assertLessEqual(footprint.peak_mb, MOST_MB)
            self.assertTrue(machine.records.answers)
            self.assertLessEqual(machine.records.most_taken(), MOST_BYTES)
        finally:
            if command.returncode is None:
                command.kill()
                await command.wait()
