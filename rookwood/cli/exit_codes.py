"""The exit codes of all commands."""

from __future__ import annotations

DONE, FAILED, FAULTY, BROKEN = 0, 1, 2, 3
CODES = "Exit codes: 0 done; 1 failed while running; 2 wrong use or a faulty file; 3 a rule was broken."
