"""Errors of the disk tier."""

from __future__ import annotations

import errno

_UNWRITABLE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS, errno.EIO})


class DiskError(Exception):
    """Base class of the errors defined by the disk tier."""


class CorruptRecordError(DiskError):
    """Stored bytes are truncated, fail their checksum, or are not the expected record."""


class ForeignStoreError(DiskError):
    """The directory belongs to another installation or has another format version."""


class StoreLockedError(DiskError):
    """Another process holds the lock of the directory."""


class IndexSizeError(DiskError, ValueError):
    """A stored index block does not have the size for the configured number of entries."""


def is_unwritable(error: OSError) -> bool:
    """Returns whether an error means that the disk accepts no more writes, temporarily or permanently.

    Such errors are counted and stop admission; any other `OSError` is treated as a bug and propagates.
    """
    return error.errno in _UNWRITABLE_ERRNOS
