"""Exceptions of the lab. Errors of the director itself do not belong here."""

from __future__ import annotations


class LabError(Exception):
    """Base class of all errors of the lab."""


class DirectorStartError(LabError, RuntimeError):
    """A director process did not become ready within its time limit."""


class PortsExhaustedError(LabError, RuntimeError):
    """The system has no free port for a run."""


class MalformedCommandError(LabError, ValueError):
    """The bytes that a director sent to a cache node are not a valid command."""


class FillError(LabError, LookupError):
    """A stand-in has no copy and could not fill it; the argument is the `CacheStatusCode` of its answer."""
