"""Checks that the report recovers known linear relations, and that its page shows only what was measured."""

import math
import re
import tomllib
from collections.abc import Callable
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from fleetlab import capacity, report, slopes
from fleetlab.cli import main
from fleetlab.experiment import Experiment, Fault, Fleet, Requests
from fleetlab.results import Machine, Metric, Result, Role, write_result

USERS_SIZE = {"routers": 2300.0, "servers": 930.0, **dict.fromkeys(slopes.RATE_SETTINGS.values(), 565.0)}
MetricsAt = Callable[[int, int, int], dict[str, dict[str, float]]]  # routers, servers, seed: roles' metrics


def write_play(
    folder: Path,
    size: tuple[int, int],
    seed: int,
    roles: dict[str, dict[str, float]],
    *,
    name: str = "grow",
    faults: list[Fault] | None = None,
    broken_off: bool = False,
) -> Path:
    """Write the result file of a made-up play; `size` is the numbers of routers and servers."""
    routers, servers = size
    fleet = Fleet(real=4, hollow=routers - 4, servers=servers)
    experiment = Experiment(
        name=name, mode="live", seed=seed, fleet=fleet, requests=Requests(), faults=faults or []
    )
    result = Result(
        experiment,
        seed,
        "0123456789abcdef",
        False,
        "/some/where/python -m fleetlab run ../or/else/grow.toml",
        "2026-01-01T00:00:00Z",
        Machine("a processor", 8, 16000, "3.11"),
        {r: Role(1, {m: Metric(v, "u") for m, v in metrics.items()}) for r, metrics in roles.items()},
        broken_off=broken_off,
    )
    path = folder / f"{name}-{routers}-{servers}-{seed}.json"
    write_result(path, result)
    return path


def write_sweep(folder: Path, metrics_at: MetricsAt, seeds: int = 3) -> list[Path]:
    """Write a sweep of routers, and one of servers that begins at its first point."""
    sizes = [(10, 13), (100, 13), (200, 13), (10, 120)]
    return [
        write_play(folder, (r, s), seed, metrics_at(r, s, seed))
        for r, s in sizes
        for seed in range(1, seeds + 1)
    ]


def fit_of(paths: list[Path], role: str, metric: str) -> slopes.Fit:
    return next(f for f in slopes.fit_all(slopes.read_points(paths)) if (f.role, f.metric) == (role, metric))


def test_fit_recovers_exact_plane_with_zero_error(tmp_path: Path) -> None:
    fit = fit_of(
        write_sweep(tmp_path, lambda r, s, seed: {"hollow": {"x": 1 + 0.5 * r + 0.25 * s}}), "hollow", "x"
    )
    assert fit.intercept == pytest.approx(1)
    assert [t.axis for t in fit.terms] == ["routers", "servers"]
    assert [t.slope for t in fit.terms] == pytest.approx([0.5, 0.25])
    assert [t.error for t in fit.terms] == pytest.approx([0, 0], abs=1e-9)
    value = fit.value_at(USERS_SIZE)
    assert value is not None and value.value == pytest.approx(1 + 0.5 * 2300 + 0.25 * 930)
    assert value.extrapolation == pytest.approx(2300 / 200) and not value.measured
    assert value.held_axes == {"requests.hollow_rate": 4.0} and not fit.has_few_plays


def test_fit_reports_standard_error_and_range_of_single_play_slopes(tmp_path: Path) -> None:
    # two sizes with a play above and one below the line at each; the standard error is sqrt(s² / Sxx)
    offsets = {1: -1.0, 2: 1.0, 3: 0.0}
    paths = [
        write_play(tmp_path, (r, 13), seed, {"real": {"x": 2.0 * r + offsets[seed] * r / 100}})
        for r in (100, 300)
        for seed in offsets
    ]
    term = fit_of(paths, "real", "x").terms[0]
    residuals = 2 * 1.0 + 2 * 9.0
    assert term.slope == pytest.approx(2)
    assert term.error == pytest.approx(math.sqrt(residuals / (6 - 2) / (6 * 100**2)))
    assert [term.low, term.high] == pytest.approx([1.99, 2.01])
    at_point = fit_of(paths, "real", "x").value_at({"routers": 100, "servers": 13})
    assert at_point is not None and at_point.measured and (at_point.low, at_point.high) == (199, 201)


def test_collinear_axes_share_a_term(tmp_path: Path) -> None:
    paths = [write_play(tmp_path, (n, n), 1, {"real": {"x": 3.0 * n}}) for n in (10, 20, 40)]
    fit = fit_of(paths, "real", "x")
    assert (
        [t.axis for t in fit.terms] == ["routers"] and fit.collinear_axes == ["servers"] and fit.has_few_plays
    )


def test_single_point_does_not_extrapolate(tmp_path: Path) -> None:
    fit = fit_of([write_play(tmp_path, (10, 13), 1, {"real": {"x": 3.0}})], "real", "x")
    assert fit.value_at(USERS_SIZE) is None and fit.terms == []
    at_point = fit.value_at({"routers": 10, "servers": 13})
    assert at_point is not None and at_point.value == 3.0


def test_fit_predicting_negative_value_gives_none(tmp_path: Path) -> None:
    paths = [write_play(tmp_path, (r, 13), 1, {"real": {"x": 100.0 - r}}) for r in (10, 20, 40)]
    assert fit_of(paths, "real", "x").value_at(USERS_SIZE) is None
    at_90 = fit_of(paths, "real", "x").value_at({"routers": 90, "servers": 13})
    assert at_90 is not None and at_90.value == pytest.approx(10)


def test_sweeps_of_several_experiments_are_fitted_together(tmp_path: Path) -> None:
    paths = [
        write_play(tmp_path, (r, 13), 1, {"real": {"x": 1.0 * r + 26}}, name="routers") for r in (10, 20, 40)
    ]
    paths += [
        write_play(tmp_path, (10, s), 1, {"real": {"x": 10 + 2.0 * s}}, name="servers") for s in (26, 52)
    ]
    chosen = slopes.choose_fit(slopes.fit_all(slopes.read_points(paths)), [("real", "x")], USERS_SIZE)
    assert chosen is not None and chosen[0].experiment == "routers+servers"
    assert chosen[1].value == pytest.approx(2300 + 2 * 930)


def test_experiment_without_faults_is_preferred_if_steady(tmp_path: Path) -> None:
    lost = [Fault(kind="servers_lost", at=1.0)]
    paths = [
        write_play(tmp_path, (r, 13), 1, {"real": {"x": 9.0 * r}}, name="bad", faults=lost)
        for r in (10, 99, 500)
    ]
    faulty_fits = slopes.fit_all(slopes.read_points(paths))
    paths += [write_play(tmp_path, (r, 13), 1, {"real": {"x": 1.0 * r}}, name="calm") for r in (10, 20)]
    all_fits = slopes.fit_all(slopes.read_points(paths))
    for steady, candidates, value in (
        (True, all_fits, 2300),
        (False, all_fits, 9 * 2300),
        (True, faulty_fits, 9 * 2300),
    ):
        chosen = slopes.choose_fit(candidates, [("real", "none"), ("real", "x")], USERS_SIZE, steady)
        assert chosen is not None and chosen[1].value == pytest.approx(value)


def test_missing_and_broken_off_plays_are_left_out(tmp_path: Path) -> None:
    paths = [write_play(tmp_path, (r, 13), 1, {"real": {"x": float(r)}}) for r in (10, 20, 40)]
    paths.append(write_play(tmp_path, (80, 13), 1, {"real": {"y": 1.0}}))
    paths.append(write_play(tmp_path, (160, 13), 1, {"real": {"x": 9999.0}}, broken_off=True))
    fit = fit_of(paths, "real", "x")
    assert fit.terms[0].slope == pytest.approx(1) and fit.terms[0].axis_max == 40
    bad_file = tmp_path / "bad.json"
    bad_file.write_text("[]")
    with pytest.raises(ValueError, match="bad.json is neither"):
        slopes.read_points([bad_file])


def sample_metrics(r: int, s: int, seed: int) -> dict[str, dict[str, float]]:
    noise = 1 + 0.01 * (seed - 2)
    hollow = {"cpu.control": 1e-4 * r * noise, "bytes.in.peers": 20.0 * r, "bytes.out.peers": 100.0}
    module = {"state.mb": 1 + 0.01 * s, "rate.peer": 0.5 * r, "cpu.us.peer": 20.0, "cpu.us.change": 900.0}
    return {"hollow": hollow, "module": module}


def test_page_lists_exceeded_limits_by_ratio_and_marks_missing_figures(tmp_path: Path) -> None:
    paths = write_sweep(tmp_path / "r", sample_metrics)
    cut = Fault(kind="region_cut", at=1.0, lasts=5.0)
    paths.append(
        write_play(tmp_path / "r", (40, 13), 1, {"hollow": {"force.max": 4.5}}, name="cut", faults=[cut])
    )
    page = tmp_path / "CAPACITY.md"
    report.write_report(paths, tmp_path / "out", page)
    text = page.read_text()
    passed = text.split("## Lines that pass")[1].split("Within their limit")[0]
    ratios = [float(line.split("**")[1].replace(",", "")) for line in passed.splitlines() if "**" in line]
    assert ratios == sorted(ratios, reverse=True) and min(ratios) > 1 and len(ratios) >= 5
    assert (
        "**19.2** Router: processor: control, share of a core, with sockets: 0.23 (" in passed
    )  # 1e-4 × 2300 / 0.012
    assert "**2.5** Router: connections: to servers, one each: 930 against 372" in passed  # from a formula
    assert "state, MB" not in passed  # 10.3 of 32
    row = next(line for line in text.splitlines() if "control, a second: peers and discovery" in line)
    assert "at least" in row and "×11.5 beyond" in row  # two of its four parts have figures
    alone = next(line for line in text.splitlines() if "a sum over kinds, module alone" in line)
    assert "at least 0.023 (" in alone  # 0.5 × 2300 × 20 / 1e6
    assert "| real router's process, MB | not measured | not measured | not measured |" in text.replace(
        "a real", "real"
    )
    assert "The 8 control machines" in text and "The fleet as a whole: time: a purge done everywhere" in text
    assert "played (R1†): region_cut; 40 routers, 13 servers: hollow force.max 4.5" in text
    assert "cut-40-13-1.json" in text and "{{" not in text and "nan" not in text
    assert "Not written yet" in text or (report.LAB_DIR / report.DECISION_FILE).exists()


def test_page_compares_before_and_after_and_uses_before_nowhere_else(tmp_path: Path) -> None:
    for name, control, tell in (("grow_before", 0.024, 1100.0), ("grow_after", 0.006, 200.0)):
        for seed in (1, 2, 3):
            module = {"cpu.control": control * seed / 2, "cpu.us.tell": tell, "cpu.us.request": 100.0}
            module |= {
                "bytes.in.peers": 1000.0,
                "rate.peer": 10.0,
                "rate.tell": 4.0,
                "state.mb": 0.0 if name == "grow_after" else 64.0,
            }
            write_play(tmp_path / "r", (40, 60), seed, {"module": module}, name=name)
    write_play(
        tmp_path / "r", (80, 60), 1, {"module": {"cpu.control": 1.0}}, name="grow_before"
    )  # has no counterpart in grow_after
    page = tmp_path / "CAPACITY.md"
    report.write_report([tmp_path / "r"], tmp_path / "out", page)
    text = page.read_text()
    rows = text.split("## Before and after")[1].split("## What goes first")[0]
    start = "| control, quiet, share of a core | 40 / 60 | "
    assert start + "0.024 (0.012 to 0.036) | 0.006 (0.003 to 0.009) | 0.012 | 2 | 0.5 | 4 | R2, R1 |" in rows
    # (1100 − 100) us × 4 a second
    assert "| telling peers, share of a core | 40 / 60 | 0.004 (0.004 to 0.004) | 0.0004 (" in rows
    assert "| 32 | 2 | 0 |  | R2, R1 |" in rows and "80 / 60" not in rows and "zone's loss" not in rows
    assert "quiet, a second | 40 / 60 | 1,280 (1,280 to 1,280) | " in rows  # with ten headers of 28 bytes
    all_fits = slopes.fit_all(slopes.read_points([tmp_path / "r"]))
    assert {fit.experiment for fit in all_fits} == {"grow_before", "grow_after"}  # no fit combines them
    row = next(line for line in text.splitlines() if "control as the module alone" in line)
    assert "R2" not in row  # R2 is grow_before, whose fit would reach the users' size


def test_overloaded_play_gives_a_note_and_no_figure(tmp_path: Path) -> None:
    for seed, asked, late in ((1, 0.97, 0.1), (2, 0.75, 0.1), (3, 0.99, 9.0)):
        roles = {"hollow": {"asked": asked, "cpu.control": 1.0 * seed}, "lab": {"lag": late}}
        write_play(tmp_path / "r", (40, 13), seed, roles)
    assert [(v.value, n) for _, v, n in fit_of([tmp_path / "r"], "hollow", "cpu.control").at_points] == [
        (1.0, 1)
    ]
    for results in (tmp_path / "r", tmp_path / "out"):
        report.write_report([results], tmp_path / "out", tmp_path / "page.md")
        text = (tmp_path / "page.md").read_text()
        assert "2 plays left out" in text and "- grow-40-13-2.json: hollow routers made 0.75 of the" in text
        assert (
            "- grow-40-13-3.json: hollow routers made 0.99 of the planned requests and were up to 9 s" in text
        )


def test_page_without_results_says_not_measured(tmp_path: Path) -> None:
    page = tmp_path / "CAPACITY.md"
    report.write_report([], tmp_path / "out", page)
    text = page.read_text()
    assert "None: nothing has been measured." in text
    cells = [c.strip() for line in text.splitlines() if line.startswith("| ") for c in line.split("|")]
    assert cells.count("not measured") > 100
    assert not [c for c in cells if re.search(r"\d \(.* to .*\)", c) and not c.startswith("formula")]


def test_measured_json_alone_makes_the_same_page(tmp_path: Path) -> None:
    lab = tmp_path / "lab"
    (lab / report.SIZES_FILE).parent.mkdir(parents=True)
    (lab / report.SIZES_FILE).write_bytes((report.LAB_DIR / report.SIZES_FILE).read_bytes())
    (lab / report.DECISION_FILE).write_text("First {{this}}, \\1 then that.\n")
    paths = write_sweep(
        tmp_path / "r", lambda r, s, seed: {"hollow": sample_metrics(r, s, seed)["hollow"]}, 2
    )
    paths.append(write_play(tmp_path / "r", (400, 13), 1, {}, broken_off=True))
    first, again, both = (tmp_path / n for n in ("first", "again", "both"))
    report.write_report(paths, first, first / "page.md", lab)
    report.write_report([first / "measured.json"], again, again / "page.md", lab)
    report.write_report([first, tmp_path / "r"], both, both / "page.md", lab)  # duplicate plays count once
    for name in ("page.md", "measured.json", "slopes.json", "summary.md"):
        assert (first / name).read_bytes() == (again / name).read_bytes() == (both / name).read_bytes()
    assert "First {{this}}, \\1 then that." in (first / "page.md").read_text()
    assert '"python -m fleetlab run grow.toml"' in (first / "measured.json").read_text()
    plot = first / "grow-hollow-cpu.control.png"
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert not (first / "grow-hollow-bytes.out.peers.png").exists()  # its values do not vary
    assert len(msgspec.json.decode((first / "slopes.json").read_bytes(), type=list[slopes.Fit])) == 3


def test_report_command_takes_files_and_folders(tmp_path: Path) -> None:
    path = write_play(tmp_path / "r", (40, 60), 1, {"module": {"state.mb": 1.0}})
    for i, results in enumerate((path, path.parent)):
        out = tmp_path / str(i)
        done = CliRunner().invoke(
            main, ["report", str(results), "--out", str(out), "--page", str(out / "page.md")]
        )
        assert done.exit_code == 0, done.output
    assert (tmp_path / "0" / "page.md").read_bytes() == (tmp_path / "1" / "page.md").read_bytes()


def test_sizes_and_settings_are_read_by_name(tmp_path: Path) -> None:
    fleet_spec = capacity.read_fleet_spec(report.LAB_DIR / report.SIZES_FILE)
    users = fleet_spec.sizes["users"]
    assert users.routers * users.rate == pytest.approx(1.3e6, rel=0.01)
    assert set(capacity.SIZE_NAMES) <= set(
        tomllib.loads((report.LAB_DIR / report.SIZES_FILE).read_text())["sizes"]
    )
    experiment = Experiment(name="x", mode="model", faults=[Fault(kind="changes", at=2)])
    flat = slopes.flatten(msgspec.to_builtins(experiment))
    assert flat["faults.0.kind"] == "changes" and flat["fleet.servers"] == 13.0 and "name" not in flat
