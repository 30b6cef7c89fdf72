"""The stored form of an agent's journal: a journal of an earlier version is read and written the same."""

from pathlib import Path

import pytest

from ironhinge.fleet.desired_state import Command, CommandReceived, CommandResult, DesiredState, Entry
from ironhinge.fleet.journal import decode_journal, encode_entry

STORED = Path(__file__).parent / "data" / "fleet_journal.bin"
ENTRIES = [
    Entry(1, "ada-1", "ada", "first configuration", 0, (("n0", "sha-one"), ("n1", "sha-one"))),
    Entry(
        2,
        "r1/m00/new",
        "bob",
        'canary of "r1": \\ new buffers\nsecond line',
        1764576000123,
        (("n0", "sha-two"), ("n1", "sha-two")),
    ),
    Entry(
        3,
        "r1/m00/old@2",
        "bob",
        "undone: 93.0% in target on the new one, 95.0% on the old",
        1764576000124,
        (("n0", "sha-one"), ("n1", "sha-one")),
    ),
    Entry(
        4,
        "zoë-1",
        "zoë",
        "",
        9007199254740992,
        (("n0", "sha-three"), ("n1", "sha-one"), ("édge", "sha-三")),
    ),
    Entry(5, "ada-2", "ada", "site closes", 9007199254740993, ()),
]


@pytest.fixture
def stored() -> bytes:
    return STORED.read_bytes()


def test_stored_journal_is_decoded_to_the_same_entries(stored):
    assert decode_journal(stored) == (ENTRIES, len(stored))


def test_the_same_entries_are_encoded_to_the_same_bytes(stored):
    assert b"".join(encode_entry(entry) for entry in ENTRIES) == stored


def test_agent_restored_from_a_stored_journal_has_the_same_state(stored):
    entries, _ = decode_journal(stored)
    agent = DesiredState(entries)
    assert agent.current == ENTRIES[-1]
    assert list(agent.history)[1:] == ENTRIES
    assert agent.entry_before(3) == ENTRIES[1]
    for entry in ENTRIES:
        repeated = Command(entry.command_id, entry.generation - 1, entry.author, entry.reason, entry.spec)
        assert agent.handle(CommandReceived(repeated, 1)) == [CommandResult(entry.command_id, True, entry)]
