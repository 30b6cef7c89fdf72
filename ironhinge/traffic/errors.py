"""The errors of this package; all of them share `TrafficError`."""

from __future__ import annotations


class TrafficError(Exception):
    """Anything that goes wrong in the account of traffic and its budgets."""


class SnapshotError(TrafficError):
    """The bytes of a snapshot are torn, foreign or of another version."""
