"""Drawn deployments: what varies, that a seed determines its variant, and the errors for invalid files."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from click.testing import CliRunner

from fleetlab.cli import EXIT_INVALID_FILE, main
from fleetlab.deployments import DeploymentError, read_site, vary, write_variants

BASE = Path(__file__).parent.parent / "deploy" / "sites" / "hasty-counter.toml"
SEEDS = range(1, 61)


def test_a_seed_determines_its_variant_and_the_base_is_not_modified() -> None:
    base = read_site(BASE)
    assert vary(base, 3) == vary(base, 3) != vary(base, 4)
    assert base == read_site(BASE)


def test_variants_stay_within_the_documented_ranges() -> None:
    for site in (vary(read_site(BASE), seed) for seed in SEEDS):
        assert 1 <= site["allow"]["max_attempts"] <= 8
        assert 40 <= site["allow"]["cpu_ms_per_s"] <= 500
        assert 500 <= site["rules"]["drain_grace_ms"] <= 2500
        for name in ("same_ms", "cross_ms", "client_ms"):
            low, high = site["net"][name]
            assert 0.07 <= low <= high <= 20
        for tier in site["tier"]:
            assert 2 <= tier["conn"]["idle_s"] <= 30 and 1 <= tier["conn"]["streams"] <= 128
        for request_class in site["class"]:
            assert 700 <= request_class["deadline_ms"] <= 15_000
            assert 0 < request_class["aim_ms"] < request_class["deadline_ms"]
            assert ("window_ms" in request_class) == (request_class["effect"] == "keyed")


def test_variants_reach_every_choice() -> None:
    sites = [vary(read_site(BASE), seed) for seed in SEEDS]
    assert {s["discovery"]["mode"] for s in sites} == {"ask", "push"}
    assert {s["fam"]["mode"] for s in sites} == {"aside", "through"}
    assert {t["report"]["how"] for s in sites for t in s["tier"]} == {"probe", "answers", "none"}
    assert {c["effect"] for s in sites for c in s["class"]} == {"safe", "keyed", "unsafe"}
    for name in ("peers", "cancel", "second_copies", "retry_after"):
        assert {s["allow"][name] for s in sites} == {True, False}


def test_names_within_a_variant_are_unique() -> None:
    for site in (vary(read_site(BASE), seed) for seed in SEEDS):
        names = [c["name"] for c in site["class"]]
        names += [kind["name"] for tier in site["tier"] for kind in tier["kind"]]
        assert len(set(names)) == len(names)
        assert len(set(site["net"]["zones"])) == len(read_site(BASE)["net"]["zones"])


def test_variants_are_written_with_copies_of_the_files_beside_the_base(tmp_path: Path) -> None:
    paths = write_variants(BASE, range(5, 7), tmp_path / "drawn")
    assert [p.name for p in paths] == ["hasty-counter-5.toml", "hasty-counter-6.toml"]
    assert tomllib.loads(paths[0].read_text()) == vary(read_site(BASE), 5)
    for name in ("real.json", "wire.json", "unlock.txt"):
        assert (tmp_path / "drawn" / name).read_bytes() == (BASE.parent / name).read_bytes()


@pytest.mark.parametrize(("text", "message"), [("name = ", "site file in TOML"), ("name = 'x'", "add it")])
def test_the_error_for_an_invalid_site_file_says_how_to_correct_it(
    tmp_path: Path, text: str, message: str
) -> None:
    path = tmp_path / "x.toml"
    path.write_text(text)
    with pytest.raises(DeploymentError, match=message):
        write_variants(path, range(1), tmp_path / "drawn")
    result = CliRunner().invoke(main, ["sites", str(path), "--out", str(tmp_path / "drawn")])
    assert result.exit_code == EXIT_INVALID_FILE and message in result.stderr


def test_the_command_prints_the_paths_that_it_wrote(tmp_path: Path) -> None:
    result = CliRunner().invoke(
        main, ["sites", str(BASE), "--seed", "7", "--count", "2", "--out", str(tmp_path)]
    )
    assert result.exit_code == 0, result.stderr
    assert [Path(line).name for line in result.stdout.split()] == [f"hasty-counter-{n}.toml" for n in (7, 8)]
