"""The store against a plain dict, and against every failure that it names."""

import errno
import signal
import subprocess
import sys
import time
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ironhinge.disk.admission import Admission, Rules, Sketch
from ironhinge.disk.files import Files, Locked
from ironhinge.disk.format import HEAD, Unsound, name_of, unpack_checkpoint, unpack_head
from ironhinge.disk.index import Entry, Index
from ironhinge.disk.store import CHECKPOINT, OLDER, Foreign, Limits, Store
from ironhinge.lab.disks import Faults, MemoryFiles, PowerCut

SMALL = Limits(room=60_000, segment=8_000, entries=200, settles=1000)
BASE = 1_764_576_000_000


class Now:
    def __init__(self):
        self.ms = BASE

    def __call__(self):
        return self.ms


def body(obj, part, version, size=None):
    text = b"%d/%d/%d " % (obj, part, version)
    return (text * 300)[: size or 40 + (obj * 37 + version * 101) % 1500]


def open_(files, now, limits=SMALL, identity=b"here"):
    return Store(files, identity, limits, now)


def empty(store, keep=lambda entry: True):
    """Compacts until there is room."""
    while store.needs_room():
        number = store.victim()
        if number is None:
            return
        for _ in store.compact(number, keep):
            pass


class Against(RuleBasedStateMachine):
    """Any copy served must be one that was put, newer than every purge; while nothing is evicted and nothing
    cut, it must be the newest."""

    def __init__(self):
        super().__init__()
        self.now, self.files = Now(), MemoryFiles(Faults(1))
        self.store = open_(self.files, self.now)
        self.versions = 0
        self.put = {}  # key: versions in order, with dates
        self.purges = []
        self.sure = {}  # key: version that has to be there
        self.safe = {}

    keys = st.tuples(st.integers(0, 12), st.integers(0, 2))

    def limit(self, key):
        return max(
            [at for obj, group, at in self.purges if obj in (key[0], None) and group in (key[0] % 4, None)]
            + [0]
        )

    @rule(key=keys)
    def puts(self, key):
        self.now.ms += 10
        self.versions += 1
        dated = self.now.ms
        if self.store.put(*key, key[0] % 4, dated, b"t%d" % self.versions, body(*key, self.versions)):
            self.put.setdefault(key, {})[self.versions] = dated
            self.sure.pop(key, None)
            self.sure[key] = self.versions

    @rule(key=keys)
    def drops(self, key):
        self.store.drop(*key)
        self.sure.pop(key, None)
        self.safe.pop(key, None)

    @rule(key=keys, whole=st.booleans())
    def purges_(self, key, whole):
        self.now.ms += 10
        self.store.purge(None if whole else key[0], key[0] % 4, self.now.ms)
        self.purges.append((None if whole else key[0], key[0] % 4, self.now.ms))
        for other in list(self.sure):
            if self.put[other][self.sure[other]] <= self.limit(other):
                del self.sure[other]
        self.safe = {k: v for k, v in self.safe.items() if self.put[k][v] > self.limit(k)}

    @rule()
    def flushes(self):
        self.store.flush()

    @rule()
    def syncs(self):
        self.store.flush()
        self.store.sync()
        self.safe = dict(self.sure)

    @rule()
    def checkpoints(self):
        self.store.checkpoint()
        self.safe = dict(self.sure)

    @rule(first=st.booleans())
    def compacts(self, first):
        if first:
            self.store.flush()
        number = self.store.victim()
        if number is not None:
            for _ in self.store.compact(number, lambda entry: True):
                pass

    @rule()
    def makes_room(self):
        self.store.flush()
        if self.store.needs_room():
            empty(self.store, lambda entry: entry.obj % 2 == 0)
            self.sure, self.safe = {}, {}

    @rule()
    def closes_and_opens(self):
        self.store.close()
        self.safe = dict(self.sure)
        self.store = open_(self.files, self.now)

    @rule()
    def loses_power(self):
        self.files = self.files.after_power_cut()
        self.store = open_(self.files, self.now)
        self.sure = dict(self.safe)
        self.purges_known = True
        # purges that were not synced are told again by the coordinator: they are not settled yet
        for obj, group, at in self.purges:
            self.store.purge(obj, group, at)

    @rule()
    def is_killed(self):
        """The process ends; the system still has what was written."""
        self.store.files.end()
        queued = {(e.obj, e.part) for _, e in self.store.queue if e is not None}
        flushed = {key: v for key, v in self.sure.items() if key not in queued}
        self.store = open_(self.files, self.now)
        for obj, group, at in self.purges:
            self.store.purge(obj, group, at)
        self.sure = flushed
        self.safe = {key: v for key, v in self.safe.items() if flushed.get(key) == v}

    @invariant()
    def serves_only_what_was_put(self):
        for key, versions in self.put.items():
            copy = self.store.get(*key)
            if copy is None:
                continue
            version = int(copy.tag[1:])
            assert copy.body == body(*key, version) and copy.dated == versions[version]
            assert copy.dated > self.limit(key), "a purged copy"

    @invariant()
    def has_what_it_must(self):
        queued = {(e.obj, e.part) for _, e in self.store.queue if e is not None}
        for key, version in self.sure.items():
            copy = self.store.get(*key)
            if key not in queued:
                assert copy is not None and int(copy.tag[1:]) == version, (key, version, copy and copy.tag)

    @invariant()
    def weighs_right(self):
        entries = list(self.store.index.entries())
        assert self.store.live() == sum(HEAD + each.tag_size + each.length for each in entries)
        assert len(entries) == len(self.store.index)


TestAgainst = Against.TestCase
TestAgainst.settings = settings(max_examples=40, stateful_step_count=40)


def work(files, now, steps=160, seed=1, mark=None):
    """Puts, purges, checkpoints and compactions, until the power goes; tells what was said to be durable."""
    chance = Random(seed)
    store = open_(files, now)
    durable, latest, purged = {}, {}, {}
    for step in range(steps):
        now.ms += 5
        key = chance.randrange(10), chance.randrange(2)
        dice = chance.random()
        if dice < 0.75:
            if store.put(*key, 0, now.ms, b"t%d" % step, body(*key, step)):
                latest[key] = step, now.ms
        elif dice < 0.8:
            purged[key[0]] = now.ms
            store.purge(key[0], 0, now.ms)
        elif dice < 0.9:
            store.flush()
            store.sync()
            durable = dict(latest)
        elif dice < 0.95:
            store.checkpoint()
            durable = dict(latest)
        else:
            store.flush()
            number = store.victim()
            if number is not None:
                for _ in store.compact(number, lambda entry: True):
                    pass
            empty(store)
        if mark is not None:
            mark.update(durable=dict(durable), purged=dict(purged), latest=dict(latest))
    return store


def check_after(found, now, mark):
    store = open_(found, now)
    for obj, at in mark["purged"].items():
        store.purge(obj, 0, at)  # as the coordinator tells them
    for key in [(obj, part) for obj in range(10) for part in range(2)]:
        copy = store.get(*key)
        if copy is not None:
            step = int(copy.tag[1:])
            assert copy.body == body(*key, step) and copy.dated > mark["purged"].get(key[0], 0)
        if key in mark["durable"] and mark["durable"][key][1] > mark["purged"].get(key[0], 0):
            assert copy is not None and int(copy.tag[1:]) >= mark["durable"][key][0], "lost what was durable"
    assert store.put(99, 0, 0, now.ms + 1, b"t", b"goes on")
    store.flush()
    assert store.get(99, 0).body == b"goes on"


def test_the_power_goes_at_every_call():
    whole = MemoryFiles(Faults())
    work(whole, Now())
    calls = whole.faults.calls
    assert calls > 150
    for cut in range(1, calls + 1, 2):
        files, now, mark = MemoryFiles(Faults(cut)), Now(), {"durable": {}, "purged": {}, "latest": {}}
        files.faults.cut_at = cut
        with pytest.raises(PowerCut):
            work(files, now, mark=mark)
        check_after(files.after_power_cut(), now, mark)


KILLED = """
import sys, time
from pathlib import Path
from tests.test_disk import Files, SMALL, Store, work
class Now:
    ms = int(time.time() * 1000) - 10_000_000
    def __call__(self): return self.ms
print("ready", flush=True)
for seed in range(10_000):
    store = work(Files(Path(sys.argv[1])), Now(), seed=seed)
    store.files.end()
"""


def test_a_process_that_is_killed_leaves_only_whole_parts(tmp_path):
    for seed in range(4):
        process = subprocess.Popen(
            [sys.executable, "-c", KILLED, str(tmp_path)], stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        process.stdout.readline()
        time.sleep(0.05 + seed * 0.07)
        process.send_signal(signal.SIGKILL)
        process.wait()
        assert not process.stderr.read()
        now = Now()
        now.ms = int(time.time() * 1000) - 10_000_000
        store = open_(Files(tmp_path), now)
        for key in [(obj, part) for obj in range(10) for part in range(2)]:
            copy = store.get(*key)
            assert copy is None or copy.body == body(*key, int(copy.tag[1:]))
        assert not store.counts.get("records_unsound")
        store.files.end()


def test_what_a_killed_life_wrote_is_durable_once_a_checkpoint_says_so():
    now, files = Now(), MemoryFiles(Faults(3))
    store = open_(files, now)
    store.put(1, 0, 0, now.ms, b"t", b"written, not synced")
    store.flush()
    store.files.end()  # killed
    open_(files, now).checkpoint()
    for seed in range(20):
        files.faults.chance = Random(seed)
        assert open_(files.after_power_cut(), now).get(1, 0) is not None


def filled(now=None, files=None, count=8):
    now = now or Now()
    store = open_(files or MemoryFiles(Faults()), now)
    for obj in range(count):
        now.ms += 1
        assert store.put(obj, 0, 0, now.ms, b"t%d" % obj, body(obj, 0, obj))
    store.flush()
    store.sync()
    return store, now


def test_no_space_left_stops_admission_not_serving_and_room_brings_it_back():
    store, now = filled()
    store.files.faults.room = sum(len(each.data) for each in store.files.files.values()) + 50
    assert store.put(50, 0, 0, now.ms, b"t", body(50, 0, 1, 1500))
    store.flush()
    assert store.full and store.get(50, 0) is None and not store.put(51, 0, 0, now.ms, b"t", b"x")
    assert store.get(3, 0).body == body(3, 0, 3)
    store.files.faults.room = None
    empty(store, lambda entry: False)
    assert not store.full and store.put(51, 0, 0, now.ms, b"t", b"x")
    store.flush()
    assert store.get(51, 0).body == b"x"
    again = open_(store.files, now)
    assert again.get(51, 0).body == b"x"


@pytest.mark.parametrize("error", [errno.EROFS, errno.EIO])
def test_a_disk_that_takes_no_writes_any_more(error):
    store, now = filled()
    store.files.faults.error = error
    store.put(50, 0, 0, now.ms, b"t", b"x")
    store.flush()
    assert store.full and store.counts["writes_failed"] == 1 and store.get(2, 0)
    assert store.checkpoint() == 0


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_purge_that_could_not_be_written_is_written_once_there_is_room(error):
    """Guards purges: else a later word that all purges are known would stand on disk without it, and a
    restart would serve the copy."""
    store, now = filled()
    store.sync()
    store.files.faults.error = error
    now.ms += 10
    store.purge(2, 2, now.ms)
    store.flush()
    assert store.full
    store.files.faults.error = None
    store.full = False
    now.ms += 10
    store.still_hears(now.ms)
    store.flush()
    store.sync()
    assert open_(store.files.what_is_durable(), now).get(2, 0) is None


def test_a_failed_sync_is_not_taken_for_a_later_good_one():
    """What it could not write is gone, and the next sync of the same file says nothing of it: fsync(2)."""
    store, now = filled()
    store.sync()
    now.ms += 10
    store.purge(2, 2, now.ms)
    store.flush()
    store.files.faults.sync_error = errno.EIO
    with pytest.raises(OSError):
        store.sync()
    store.files.faults.sync_error = None
    now.ms += 10
    store.still_hears(now.ms)
    store.flush()
    store.sync()
    assert store.counts["syncs_failed"] == 1
    assert open_(store.files.what_is_durable(), now).get(2, 0) is None


def test_a_flipped_bit_is_a_miss_and_counted_once():
    store, now = filled()
    entry = store.find(3, 0)
    store.files.flip(name_of(entry.segment), entry.offset + 80)
    assert store.get(3, 0) is None and store.counts["records_unsound"] == 1
    assert store.get(3, 0) is None and store.counts["records_unsound"] == 1
    assert store.get(4, 0) is not None
    for _ in store.scrub(store.find(4, 0).segment):
        pass
    assert store.counts["records_unsound"] == 1


def test_a_scrub_finds_what_nobody_asks_for():
    store, now = filled()
    entry = store.find(5, 0)
    store.files.flip(name_of(entry.segment), entry.offset + 90)
    for _ in store.scrub(entry.segment):
        pass
    assert store.counts["records_unsound"] == 1 and store.find(5, 0) is None


def test_a_file_removed_underneath_is_a_miss():
    store, now = filled()
    del store.files.files[name_of(store.find(1, 0).segment)]
    assert store.get(1, 0) is None and store.counts["segments_missing"] == 1
    assert open_(store.files, now).get(1, 0) is None


def test_a_torn_tail_is_cut_and_counted():
    store, now = filled()
    name = name_of(store.find(7, 0).segment)
    del store.files.files[name].data[-3:]
    again = open_(store.files, now)
    assert again.counts["records_torn"] == 1 and again.get(7, 0) is None and again.get(6, 0) is not None


def test_checkpoints_that_are_unsound_give_way_to_the_older_and_then_to_the_log():
    store, now = filled()
    store.checkpoint()
    store.put(90, 0, 0, now.ms, b"t1", b"new")
    store.checkpoint()
    store.files.flip(CHECKPOINT, 60)
    again = open_(store.files, now)
    assert again.counts["checkpoints_unsound"] == 1 and again.get(90, 0).body == b"new"
    store.files.flip(OLDER, 60)
    again = open_(store.files, now)
    assert again.counts["checkpoints_unsound"] == 2
    assert all(again.get(obj, 0).body == body(obj, 0, obj) for obj in range(8))


def test_another_installations_folder_or_version_is_refused():
    store, now = filled()
    with pytest.raises(Foreign):
        open_(store.files, now, identity=b"there")
    store.checkpoint()
    with pytest.raises(Foreign):
        open_(store.files, now, identity=b"there")


def test_a_second_process_on_the_folder_is_refused(tmp_path):
    store = open_(Files(tmp_path), Now())
    with pytest.raises(Locked):
        open_(Files(tmp_path), Now())
    store.close()
    open_(Files(tmp_path), Now()).close()


def test_a_long_absence_costs_all_that_was_there_and_a_short_one_nothing():
    store, now = filled()
    store.still_hears(now.ms)
    store.close()
    now.ms += 900
    again = open_(store.files, now)
    assert again.get(1, 0) is not None
    again.close()
    now.ms += 5000
    late = open_(store.files, now)
    assert all(late.get(obj, 0) is None for obj in range(8)), "purges of that time can't be known any more"
    assert late.put(1, 0, 0, BASE, b"t", b"as old, but checked by who brings it")
    late.flush()
    assert late.get(1, 0) is not None


def test_a_clock_that_was_set_back_serves_nothing_of_before():
    store, now = filled()
    store.still_hears(now.ms)
    store.close()
    now.ms -= 7_200_000
    again = open_(store.files, now)
    assert all(again.get(obj, 0) is None for obj in range(8))


def test_what_is_moved_undoes_no_newer_copy_that_waits():
    store, now = filled()
    store._new_segment()
    store.put(3, 0, 0, now.ms + 1, b"t9", b"newer")
    for _ in store.compact(1, lambda entry: True):
        pass
    store.flush()
    assert store.get(3, 0).body == b"newer"
    store.sync()
    assert open_(store.files, now).get(3, 0).body == b"newer"


def test_purges_outlive_restarts_compaction_and_their_number():
    store, now = filled()
    now.ms += 1
    store.purge(3, 0, now.ms)
    store.flush()
    number = store.find(1, 0).segment
    store._new_segment()
    for _ in store.compact(number, lambda entry: True):
        pass
    again = open_(store.files, now)
    assert again.get(3, 0) is None and again.get(1, 0) is not None and again.objects[3] == now.ms
    assert not again.put(3, 0, 0, now.ms - 1, b"t", b"older than the purge")
    assert again.put(3, 0, 0, now.ms + 1, b"t", b"newer")


def test_the_index_against_a_dict():
    chance, index, plain = Random(2), Index(300), {}
    for step in range(20_000):
        key = chance.randrange(400), chance.randrange(2)
        if chance.random() < 0.55:
            entry = Entry(*key, step, 1, 2, 3, 4, 5, 6)
            if index.put(entry):
                plain[key] = entry
        else:
            assert index.drop(*key) == (plain.pop(key, None) is not None)
        if step % 1000 == 0:
            assert {(e.obj, e.part): e for e in index.entries()} == plain
    assert len(index) == len(plain) and all(index.get(*key) == entry for key, entry in plain.items())
    assert len(index.block) / index.most < 100


def test_a_picture_of_the_index_is_of_one_moment():
    index = Index(3000)
    for obj in range(2000):
        index.put(Entry(obj, 0, 1, 1, 1, 1, 1, 1, 1))
    before = bytes(index.block)
    index.begin_picture()
    first = [index.chunk(0)]
    for obj in range(2000):
        if obj % 2:
            index.drop(obj, 0)
        index.put(Entry(obj + 9000, 1, 1, 1, 1, 1, 1, 1, 1))
    rest = [index.chunk(place) for place in range(1, len(index.picture))]
    index.end_picture()
    assert b"".join(first + rest) == before


def test_no_bytes_are_taken_for_a_record_or_a_checkpoint():
    chance = Random(4)
    for _ in range(500):
        data = memoryview(chance.randbytes(chance.randrange(200)))
        for read in (unpack_head, unpack_checkpoint):
            with pytest.raises(Unsound):
                read(data)


# Admission


def test_what_is_asked_for_once_is_not_kept():
    one = Admission(Rules(room=100_000))
    one.asked(0, (1, 0), 1000)
    assert not one.wants(0, (1, 0), 1000)
    one.asked(10, (1, 0), 1000)
    assert one.wants(10, (1, 0), 1000) and one.refused["rare"] == 1


def test_large_and_rare_parts_do_not_push_out_small_and_popular_ones():
    one = Admission(Rules(room=100_000, object_share=1.0, class_share=1.0))
    for turn in range(40):
        for card in range(80):
            one.asked(turn * 1000, (card, 0), 1000)
        for film in range(20):
            one.asked(turn * 1000, (1000 + turn * 20 + film, 0), 20_000)
            one.asked(turn * 1000 + 1, (1000 + turn * 20 + film, 0), 20_000)
    one._find_cut()
    assert all(one.wants(40_000, (card, 0), 1000) for card in range(80))
    assert not any(one.wants(40_000, (1000 + film, 0), 20_000) for film in range(700))


def test_shares_and_the_write_budget_bound_what_is_taken():
    one = Admission(Rules(100_000, object_share=0.05, class_share=0.2, write_rate=1000, write_burst=30_000))
    for key in [(obj, part) for obj in range(40) for part in range(4)] * 2:
        one.asked(0, key, 1000)
    took = []
    for part in range(4):
        for obj in range(40):
            if one.wants(0, (obj, part), 2000):
                one.held((obj, part), 2000, 1)
                took.append((obj, part))
    assert len(took) == 10 and one.refused["class"] > 0  # 20 KB of one size class
    assert not one.wants(0, (took[0][0], 9), 5000)
    one.wrote(40_000)
    for key in took:
        one.held(key, 2000, -1)
    assert not one.wants(0, (0, 0), 2000) and one.refused["writes"] == 1
    assert one.wants(600_000, (0, 0), 2000) and not one.objects


def test_the_sketch_forgets():
    one = Sketch()
    assert [one.add((5, 0)) for _ in range(3)] == [1, 2, 3]
    for other in range(200_000):
        one.add((other + 10, 1))
    assert one.add((5, 0)) < 15
