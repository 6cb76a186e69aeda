"""The checks of experiment files, and the points and result files of sweeps."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from fleetlab.experiment import Experiment, ExperimentError, Fault, at_point, read_experiment, sweep_points
from fleetlab.results import Machine, Result, write_result
from fleetlab.sweep import is_complete, result_filename, select_points, sweep_plays

LAB = Path(__file__).parent.parent / "lab"


def write_file(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "file.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("text", "key", "expected"),
    [
        ("name = 'x", "", "expected TOML"),
        ("seconds = 3", "name", "required key is missing"),
        ("name = 3", "name", "expected `str`, got `int`"),
        ("name = 'a/b'", "name", "expected letters, digits and _"),
        ("name = 'x'\nmode = 'dead'", "mode", "invalid enum value 'dead'"),
        ("name = 'x'\nsettel = 3", "settel", "unknown key"),
        ("name = 'x'\n[fleet]\nreel = 3", "fleet.reel", "unknown key"),
        ("name = 'x'\n[fleet]\nreal = 'many'", "fleet.real", "expected `int`, got `str`"),
        ("name = 'x'\n[fleet]\nreal = 0", "fleet.real", "expected 1 to 14000 routers"),
        ("name = 'x'\n[fleet]\nreal = -1\nhollow = 3", "fleet.real", "expected 0 or more, got -1"),
        ("name = 'x'\n[fleet]\nzones = 0", "fleet.zones", "expected 1 or more, got 0"),
        ("name = 'x'\n[fleet]\nservers = 20000", "fleet.servers", "expected 14000 at most"),
        ("name = 'x'\n[fleet]\nfull = 1", "fleet.full", "expected fleet.hollow (0) at most"),
        ("name = 'x'\nmemory_share = 0.6", "memory_share", "expected 0.5 at most, got 0.6"),
        ("name = 'x'\n[requests]\nhits = 1.5", "requests.hits", "expected a share, 0 to 1, got 1.5"),
        ("name = 'x'\n[requests]\nrate = inf", "requests.rate", "expected a finite number"),
        ("name = 'x'\n[network]\nloss = -0.1", "network.loss", "expected a share, 0 to 1"),
        ("name = 'x'\n[[faults]]\nkind = 'rain'\nat = 1", "faults[0].kind", "invalid enum value 'rain'"),
        ("name = 'x'\n[[faults]]\nkind = 'restart'", "faults[0].at", "required key is missing"),
        ("name = 'x'\n[[faults]]\nkind = 'restart'\nat = 31", "faults[0].at", "inside the schedule of 30 s"),
        ("name = 'x'\n[[faults]]\nkind = 'zone_lost'\nat = 1\nzone = 4", "faults[0].zone", "expected 0 to 3"),
        ("name = 'x'\n[sweep.axes]\n'fleet.hollw' = [3]", "sweep.axes.fleet.hollw", "no such number"),
        ("name = 'x'\n[sweep.axes]\n'fleet.zones' = [4, 0]", "fleet.zones", "(at fleet.zones = 0)"),
        ("name = 'x'\n[sweep.axes]\n'fleet.zones' = [1.5]", "fleet.zones", "expected `int`, got `float`"),
        ("name = 'x'\n[sweep]\ntogether = true\naxes = {seed = [1], settle = []}", "sweep.axes", "as many"),
    ],
)
def test_an_error_names_the_file_the_key_and_what_was_expected(
    text: str, key: str, expected: str, tmp_path: Path
) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(ExperimentError) as raised:
        read_experiment(path)
    assert str(raised.value).startswith(f"{path}: {key}: " if key else f"{path}: ")
    assert expected.lower() in str(raised.value).lower()


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    with pytest.raises(ExperimentError, match="none.toml: expected a readable file"):
        read_experiment(tmp_path / "none.toml")


@pytest.mark.parametrize("path", sorted(LAB.glob("*.toml")), ids=lambda p: p.stem)
def test_the_experiments_of_the_repository_are_valid(path: Path) -> None:
    assert read_experiment(path).name == path.stem


def test_at_point_replaces_numbers_in_a_copy() -> None:
    experiment = Experiment(name="x", faults=[Fault(kind="restart", at=1.0)])
    changed = at_point(experiment, {"fleet.hollow": 230.0, "requests.rate": 3, "faults.0.at": 2.5, "seed": 7})
    assert (changed.fleet.hollow, changed.requests.rate, changed.faults[0].at, changed.seed) == (
        230,
        3,
        2.5,
        7,
    )
    assert type(changed.fleet.hollow) is int
    assert experiment == Experiment(name="x", faults=[Fault(kind="restart", at=1.0)])
    for key in ("fleet", "name", "faults.1.at", "faults.at", "fleet.hollow.x", ""):
        with pytest.raises(ExperimentError, match="no such number"):
            at_point(experiment, {key: 1})


def test_axes_vary_on_their_own_or_in_step(tmp_path: Path) -> None:
    text = "name = 'x'\nseed = 5\n[sweep]\nplays = 2\naxes = {'fleet.hollow' = [1, 2], 'seconds' = [3, 4]}"
    separate = read_experiment(write_file(tmp_path, text))
    assert sweep_points(separate) == [
        {"fleet.hollow": 1},
        {"fleet.hollow": 2},
        {"seconds": 3},
        {"seconds": 4},
    ]
    in_step = read_experiment(write_file(tmp_path, text + "\ntogether = true"))
    assert sweep_points(in_step) == [{"fleet.hollow": 1, "seconds": 3}, {"fleet.hollow": 2, "seconds": 4}]
    assert sweep_points(Experiment(name="x")) == [{}]
    names = [path.name for _, _, path in sweep_plays(separate, tmp_path, [1, 2])]
    assert names == [
        "x-fleet.hollow-2-s5.json",
        "x-seconds-3-s5.json",
        "x-fleet.hollow-2-s6.json",
        "x-seconds-3-s6.json",
    ]
    assert result_filename(separate, {}, 9) == "x-s9.json"


def test_points_are_selected_by_number_and_range() -> None:
    assert select_points([], 3) == [0, 1, 2]
    assert select_points(["2..3", "5.."], 6) == [1, 2, 4, 5]
    assert select_points(["..2", "1"], 6) == [0, 1]
    for invalid in ("0", "7", "x", "3..2", "1..9"):
        with pytest.raises(ValueError, match="expected"):
            select_points([invalid], 6)


def test_a_result_that_is_missing_or_broken_off_is_not_complete(tmp_path: Path) -> None:
    path = tmp_path / "r.json"
    assert not is_complete(path)
    result = Result(Experiment(name="x"), 1, "c", False, "", "", Machine("", 1, 1, ""), broken_off=True)
    write_result(path, result)
    assert not is_complete(path)
    write_result(path, msgspec.structs.replace(result, broken_off=False))
    assert is_complete(path)
