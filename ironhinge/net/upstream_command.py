"""Builds the fields of an attempt's command, with the names that the upstreams' protocol gives them."""

from __future__ import annotations

from ..interface import SendAttempt, SendAttemptWithFill
from .client_request import ForwardedFields
from .clock import MILLISECOND

HINT_SEPARATOR = "+"
TIME_REMAINING = "ms"


def max_copy_age_ms(command: SendAttempt | SendAttemptWithFill) -> int:
    """Returns the age in milliseconds of the oldest usable copy; 0 if the command sets no limit."""
    if isinstance(command, SendAttempt) or not command.max_copy_age:
        return 0
    return max(1, command.max_copy_age // MILLISECOND)


def command_fields(forwarded: ForwardedFields, command: SendAttempt | SendAttemptWithFill) -> dict[str, str]:
    """Returns the fields of a command, in the order in which they are written.

    The time remaining is empty here; `set_time_remaining` sets it just before the command is written. It is
    the last field, so that it can still be corrected if only a part of the command is sent.
    """
    fields = {"kind": forwarded.route, "obj": forwarded.entity}
    if forwarded.part is not None:
        fields["seg"] = forwarded.part
    if forwarded.nonce is not None:
        fields["token"] = forwarded.nonce
    if isinstance(command, SendAttemptWithFill):
        _add_fill_fields(fields, command)
    if forwarded.held_tag:
        fields["got"] = forwarded.held_tag
    fields[TIME_REMAINING] = ""
    return fields


def _add_fill_fields(fields: dict[str, str], command: SendAttemptWithFill) -> None:
    if command.source_id != command.endpoint_id:
        fields["parent"] = command.source_id
    if command.admission_rank:
        fields["shelf"] = str(int(command.admission_rank))
    if command.max_copy_age:
        fields["accept"] = str(max_copy_age_ms(command))
    hints = (
        ("join", command.may_join_fill),
        ("held", command.source_cached_only),
        ("renew", command.revalidates),
    )
    text = HINT_SEPARATOR.join(name for name, is_set in hints if is_set)
    if text:
        fields["hints"] = text


def set_time_remaining(fields: dict[str, str], time_remaining: int) -> None:
    """Sets the time remaining until the attempt's deadline, in whole milliseconds, rounded up.

    `time_remaining` is in tenths of a millisecond.
    """
    fields[TIME_REMAINING] = str(-(-time_remaining // MILLISECOND))
