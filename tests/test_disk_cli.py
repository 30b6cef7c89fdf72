"""The `disk` commands on the directory of a tier: JSON fields, tables and exit codes."""

import json
import shutil
from pathlib import Path

import pytest
from click.testing import CliRunner

from ironhinge.disk.cli import disk

STORED = Path(__file__).parent / "data" / "disk_store"
FIRST_COPY = {
    "obj": "0000000000000003",
    "part": 0,
    "segment": 2,
    "offset": 642,
    "length": 92,
    "dated": 1764576000030,
    "generation": 3,
    "group": 3,
    "tag_size": 2,
    "purged": True,
}


@pytest.fixture
def folder(tmp_path):
    return str(shutil.copytree(STORED, tmp_path / "store"))


def run(*arguments):
    return CliRunner().invoke(disk, arguments)


def test_status_prints_its_figures_as_json(folder):
    result = run("status", folder, "--json")
    figures = json.loads(result.stdout)
    assert figures.pop("recovery_ms") >= 0
    assert figures == {
        "entries": 6,
        "segments": 2,
        "bytes": 1608,
        "live": 944,
        "room": 1 << 60,
        "index_bytes": 704,
        "purges": 2,
        "floor": 0,
        "heard": 1764576001120,
        "full": 0,
    }
    assert result.exit_code == 0


@pytest.mark.parametrize(("text", "expected"), [('{"hits": 1}', {"hits": 1}), ("torn", "unreadable")])
def test_status_includes_the_last_director_status(folder, text, expected):
    (Path(folder) / "status.json").write_text(text)
    figures = json.loads(run("status", folder, "--json").stdout)
    assert figures["last_life"] == expected


def test_ls_prints_the_fields_of_each_copy_as_json(folder):
    copies = json.loads(run("ls", folder, "--json").stdout)
    assert copies[0] == FIRST_COPY
    assert list(copies[0]) == list(FIRST_COPY)
    assert len(copies) == 6


def test_ls_table_is_limited_by_the_option_most(folder):
    result = run("ls", folder, "--most", "1")
    assert result.stdout == "0000000000000003      0         92 1764576000030      2 purged\n"


def test_verify_counts_corrupt_copies(folder):
    result = run("verify", folder, "--json")
    assert json.loads(result.stdout) == {"bytes": 596, "entries": 6, "unsound": 0}
    assert result.exit_code == 0


def test_verify_exits_with_1_if_a_copy_is_corrupt(folder):
    segment = Path(folder) / "000000000002.seg"
    data = bytearray(segment.read_bytes())
    data[800 + 80] ^= 1
    segment.write_bytes(data)
    result = run("verify", folder, "--json")
    assert json.loads(result.stdout)["unsound"] == 1
    assert result.exit_code == 1


def test_compact_prints_the_bytes_before_and_after(folder):
    result = run("compact", folder, "--json")
    assert json.loads(result.stdout) == {"before": 1608, "after": 958}
    assert result.exit_code == 0


@pytest.mark.parametrize(("object_id", "dropped", "code"), [("7", 1, 0), ("99", 0, 1)])
def test_drop_exits_with_1_if_there_is_no_copy(folder, object_id, dropped, code):
    result = run("drop", folder, object_id, "--json")
    assert json.loads(result.stdout) == {"dropped": dropped}
    assert result.exit_code == code


def test_drop_rejects_an_object_id_that_is_not_hexadecimal(folder):
    result = run("drop", folder, "zz")
    assert result.exit_code == 2
    assert "'zz' is not a hexadecimal number" in result.output


def test_store_of_another_installation_exits_with_1(folder):
    result = run("ls", folder, "--name", "other")
    assert result.exit_code == 1
    assert "belongs to another installation: found 'director-1', expected 'other'" in result.output
