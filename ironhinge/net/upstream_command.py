"""Writes the command of an attempt: the names that upstreams know its fields by stand here."""

from __future__ import annotations

from ..interface import SendAttempt, SendAttemptWithFill
from .client_request import PassedFields
from .clock import MILLISECOND

HINT_SEPARATOR = "+"
TIME_REMAINING = "ms"


def max_copy_age_ms(command: SendAttempt | SendAttemptWithFill) -> int:
    """The age in milliseconds of the oldest copy that will do; 0 where the command sets none."""
    if isinstance(command, SendAttempt) or not command.max_copy_age:
        return 0
    return max(1, command.max_copy_age // MILLISECOND)


def command_fields(passed: PassedFields, command: SendAttempt | SendAttemptWithFill) -> dict[str, str]:
    """The fields of a command, in the order in which they are written.

    The time that is left has its place here and gets its value when the command is written.
    """
    fields = {"kind": passed.route, "obj": passed.entity}
    if passed.part is not None:
        fields["seg"] = passed.part
    if passed.nonce is not None:
        fields["token"] = passed.nonce
    fields[TIME_REMAINING] = ""
    if isinstance(command, SendAttemptWithFill):
        _add_fill_fields(fields, command)
    if passed.held_tag:
        fields["got"] = passed.held_tag
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
    """Writes what is left of the attempt's time, in whole milliseconds, rounded up.

    `time_remaining` is in tenths of a millisecond.
    """
    fields[TIME_REMAINING] = str(-(-time_remaining // MILLISECOND))
