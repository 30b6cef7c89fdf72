"""The commands on a tier's directory: their JSON names, tables and exit codes."""

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


def test_status_has_the_figures_by_name(folder):
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
def test_status_has_the_last_status_of_the_director(folder, text, expected):
    (Path(folder) / "status.json").write_text(text)
    figures = json.loads(run("status", folder, "--json").stdout)
    assert figures["last_life"] == expected


def test_ls_has_the_fields_of_each_copy_by_name(folder):
    copies = json.loads(run("ls", folder, "--json").stdout)
    assert copies[0] == FIRST_COPY
    assert list(copies[0]) == list(FIRST_COPY)
    assert len(copies) == 6


def test_ls_prints_a_table_of_at_most_so_many_copies(folder):
    result = run("ls", folder, "--most", "1")
    assert result.stdout == "0000000000000003      0         92 1764576000030      2 purged\n"


def test_verify_counts_corrupt_copies(folder):
    result = run("verify", folder, "--json")
    assert json.loads(result.stdout) == {"bytes": 596, "entries": 6, "unsound": 0}
    assert result.exit_code == 0


def test_verify_ends_with_code_1_where_a_copy_is_corrupt(folder):
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
def test_drop_tells_by_its_code_whether_there_were_copies(folder, object_id, dropped, code):
    result = run("drop", folder, object_id, "--json")
    assert json.loads(result.stdout) == {"dropped": dropped}
    assert result.exit_code == code


def test_drop_refuses_an_object_that_is_not_hexadecimal(folder):
    result = run("drop", folder, "zz")
    assert result.exit_code == 2
    assert "'zz' is not a hexadecimal number" in result.output


def test_a_store_of_another_installation_ends_with_code_1(folder):
    result = run("ls", folder, "--name", "other")
    assert result.exit_code == 1
    assert "belongs to another installation: found 'director-1', expected 'other'" in result.output
