"""The index: a hash table of fixed size, and snapshots of it."""

from random import Random

from ironhinge.disk.index import IndexEntry, PartIndex, PartKey


def test_the_index_agrees_with_a_dict():
    random, index, plain = Random(2), PartIndex(300), {}
    for step in range(20_000):
        key = PartKey(random.randrange(400), random.randrange(2))
        if random.random() < 0.55:
            entry = IndexEntry(*key, step, 1, 2, 3, 4, 5, 6)
            if index.put(entry):
                plain[key] = entry
        else:
            assert index.remove(key) == (plain.pop(key, None) is not None)
        if step % 1000 == 0:
            assert {entry.key: entry for entry in index.entries()} == plain
    assert len(index) == len(plain)
    assert all(index.get(key) == entry for key, entry in plain.items())
    assert len(index.block) / index.capacity < 100


def test_a_snapshot_of_the_index_is_of_one_moment():
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
