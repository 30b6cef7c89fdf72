"""The errors of this package; all derive from `TrafficError`."""

from __future__ import annotations


class TrafficError(Exception):
    """Base class of the errors of the traffic account and its budgets."""


class SnapshotError(TrafficError):
    """The bytes are not a snapshot of this version, or they are incomplete or damaged."""
