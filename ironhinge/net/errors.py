"""Errors that the network code raises; all derive from `NetworkError`."""

from __future__ import annotations


class NetworkError(Exception):
    """Base class of the errors raised by this package."""


class RingBufferError(NetworkError, ValueError):
    """A byte count exceeds the content or the free space of a ring buffer."""


class FieldError(NetworkError, ValueError):
    """A field of a client's request is missing or malformed; the text names the field."""


class UnparsableError(NetworkError):
    """A peer's bytes do not follow its protocol; nothing after them can be decoded."""


class ListenerError(NetworkError, RuntimeError):
    """The listening socket is open, but can't accept connections."""


class RemedyTableError(NetworkError, ValueError):
    """The remedy table has two remedies for the same system call and error."""
