"""The command that plays changes of the server list on a real router."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from fleetlab import list_changes
from fleetlab.list_changes import ListPlay, Row, play_list_changes, table
from fleetlab.standins.discovery import VersionedList

ROOT = Path(__file__).parent.parent


def test_changes_are_played_on_a_real_process(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    """Guards against: a play in which the router does not get the change, so that nothing is measured."""
    (tmp_path / "deploy").mkdir()
    run = f"exec {sys.executable} -B -m brackenwalk"
    (tmp_path / "deploy" / "balancer.toml").write_text(f'run = "{run}"\n')
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    monkeypatch.setattr(list_changes, "REST_S", 0.1)
    all_changes = ListPlay._changes
    names = ("nothing", "one joins", "97 in 100 replaced, after an outage")
    monkeypatch.setattr(ListPlay, "_changes", lambda play: {n: all_changes(play)[n] for n in names})
    asked: list[tuple[int | None, int]] = []
    body = VersionedList.body

    def recording(server_list: VersionedList, after: int | None) -> tuple[bytes, int]:
        asked.append((after, body(server_list, after)[1]))
        return body(server_list, after)

    monkeypatch.setattr(VersionedList, "body", recording)
    rows = asyncio.run(play_list_changes(tmp_path, [40]))
    assert [row.change for row in rows] == ["first list at start", *names, "SIGTERM in the middle: exit"]
    assert [row.failed for row in rows] == [0] * 5
    assert (1, 1) in asked and any(entries >= 2 * 39 for _, entries in asked)


def test_rows_are_printed_as_a_table() -> None:
    text = table([Row(60, "one joins", 3.4, 0.0, 0), Row(3200, "all weights", 12.6, 420.2, 1)])
    assert text.splitlines()[2:] == [
        "| 60 | one joins | 3 | 0 | 0 |",
        "| 3200 | all weights | 13 | 420 | 1 |",
    ]
