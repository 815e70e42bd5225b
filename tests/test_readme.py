"""The example in the README runs unchanged."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_readme_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "10.0.0.1:80\n"
