"""The binary form of records and checkpoints."""

from random import Random

import pytest

from ironhinge.disk.checkpoint_format import unpack_checkpoint
from ironhinge.disk.errors import CorruptRecordError
from ironhinge.disk.format import unpack_record_header


def test_random_bytes_are_neither_a_record_nor_a_checkpoint():
    random = Random(4)
    for _ in range(500):
        data = memoryview(random.randbytes(random.randrange(200)))
        for read in (unpack_record_header, unpack_checkpoint):
            with pytest.raises(CorruptRecordError):
                read(data)
