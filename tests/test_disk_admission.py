"""Admission: which copies are stored, by request frequency, size, shares and write budget."""

from ironhinge.disk.admission import Admission, AdmissionPolicy, FrequencySketch, RejectionReason
from ironhinge.disk.index import PartKey


def test_part_requested_once_is_not_stored():
    admission = Admission(AdmissionPolicy(capacity=100_000))
    admission.record_request(0, PartKey(1, 0), 1000)
    assert not admission.should_store(0, PartKey(1, 0), 1000)
    admission.record_request(10, PartKey(1, 0), 1000)
    assert admission.should_store(10, PartKey(1, 0), 1000)
    assert admission.rejections[RejectionReason.RARELY_REQUESTED] == 1


def test_large_rare_parts_do_not_displace_small_popular_ones():
    admission = Admission(AdmissionPolicy(capacity=100_000, object_share=1.0, class_share=1.0))
    for round_number in range(40):
        for small_object in range(80):
            admission.record_request(round_number * 1000, PartKey(small_object, 0), 1000)
        for large_object in range(20):
            admission.record_request(
                round_number * 1000, PartKey(1000 + round_number * 20 + large_object, 0), 20_000
            )
            admission.record_request(
                round_number * 1000 + 1, PartKey(1000 + round_number * 20 + large_object, 0), 20_000
            )
    admission.update_cutoff()
    assert all(admission.should_store(40_000, PartKey(small_object, 0), 1000) for small_object in range(80))
    assert not any(
        admission.should_store(40_000, PartKey(1000 + large_object, 0), 20_000) for large_object in range(700)
    )


def test_shares_and_the_write_budget_limit_admission():
    admission = Admission(
        AdmissionPolicy(100_000, object_share=0.05, class_share=0.2, write_rate=1000, write_burst=30_000)
    )
    for key in [PartKey(object_id, part) for object_id in range(40) for part in range(4)] * 2:
        admission.record_request(0, key, 1000)
    stored = []
    for part in range(4):
        for object_id in range(40):
            if admission.should_store(0, PartKey(object_id, part), 2000):
                admission.record_stored(PartKey(object_id, part), 2000)
                stored.append(PartKey(object_id, part))
    assert len(stored) == 10
    assert admission.rejections[RejectionReason.SIZE_CLASS_SHARE] > 0
    assert not admission.should_store(0, PartKey(stored[0].object_id, 9), 5000)
    admission.record_write(40_000)
    for key in stored:
        admission.record_removed(key, 2000)
    assert not admission.should_store(0, PartKey(0, 0), 2000)
    assert admission.rejections[RejectionReason.WRITE_BUDGET] == 1
    assert admission.should_store(600_000, PartKey(0, 0), 2000)
    assert not admission.object_bytes


def test_sketch_counts_decay():
    sketch = FrequencySketch()
    assert [sketch.add(PartKey(5, 0)) for _ in range(3)] == [1, 2, 3]
    for other in range(200_000):
        sketch.add(PartKey(other + 10, 1))
    assert sketch.add(PartKey(5, 0)) < 15
