"""Exceptions that the laboratory raises. It must never define errors of the director itself."""

from __future__ import annotations


class LabError(Exception):
    """Base of all errors that the laboratory raises."""


class DirectorStartError(LabError, RuntimeError):
    """A director process did not become ready within its time limit."""


class PortsExhaustedError(LabError, RuntimeError):
    """The system has no port left for a run."""


class MalformedCommandError(LabError, ValueError):
    """The bytes that a director sent to a cache node are not a command of the protocol."""


class FillError(LabError, LookupError):
    """A stand-in has no copy and could not fill one; the argument is the `res` note of its answer."""
