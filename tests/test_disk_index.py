"""The index of the disk store: a hash table of fixed size, and its snapshots."""

from random import Random

from ironhinge.disk.index import IndexEntry, PartIndex, PartKey


def test_index_has_the_same_entries_as_a_dict():
    random, index, reference = Random(2), PartIndex(300), {}
    for step in range(20_000):
        key = PartKey(random.randrange(400), random.randrange(2))
        if random.random() < 0.55:
            entry = IndexEntry(*key, step, 1, 2, 3, 4, 5, 6)
            if index.put(entry):
                reference[key] = entry
        else:
            assert index.remove(key) == (reference.pop(key, None) is not None)
        if step % 1000 == 0:
            assert {entry.key: entry for entry in index.entries()} == reference
    assert len(index) == len(reference)
    assert all(index.get(key) == entry for key, entry in reference.items())
    assert len(index.block) / index.capacity < 100


def test_index_snapshot_excludes_later_changes():
    index = PartIndex(3000)
    for object_id in range(2000):
        index.put(IndexEntry(object_id, 0, 1, 1, 1, 1, 1, 1, 1))
    before = bytes(index.block)
    chunk_count = index.begin_snapshot()
    first = [index.snapshot_chunk(0)]
    for object_id in range(2000):
        if object_id % 2:
            index.remove(PartKey(object_id, 0))
        index.put(IndexEntry(object_id + 9000, 1, 1, 1, 1, 1, 1, 1, 1))
    rest = [index.snapshot_chunk(number) for number in range(1, chunk_count)]
    index.end_snapshot()
    assert b"".join(first + rest) == before
