"""Errors of the disk tier."""

from __future__ import annotations

import errno

_UNWRITABLE_ERRNOS = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EROFS, errno.EIO})


class DiskError(Exception):
    """Base class of all errors that the disk tier raises itself."""


class CorruptRecordError(DiskError):
    """Stored bytes are truncated, fail their checksum, or are not the record that was expected."""


class ForeignStoreError(DiskError):
    """The directory belongs to another installation or to another version of the format."""


class StoreLockedError(DiskError):
    """Another process holds the lock of the directory."""


class IndexSizeError(DiskError, ValueError):
    """A stored index block does not have the size that the configured capacity needs."""


def is_unwritable(error: OSError) -> bool:
    """Returns whether the error means that the disk accepts no more writes, for now or for good.

    Such errors stop admission and are counted; any other is a fault of the program and is raised.
    """
    return error.errno in _UNWRITABLE_ERRNOS
