"""A rollout: changes the members of a fleet in waves, and rolls them all back when a gate fails.

The gate compares the changed members with those of later waves. A rollout needs no state that the members
can't report, so a tool that has the plan and collects the members' status continues where another tool
stopped. Command ids are built from the names of the rollout and the member, so a second tool that sends the
same commands has no further effect.

The module does no I/O: `Rollout.handle` returns the commands to send. Instants and durations are in ticks of
a tenth of a millisecond.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeAlias

from .desired_state import Command, CommandResult
from .waves import Member, plan_waves

SOAK_TIME = 100_000  # how long an updated wave is observed before the next one starts
RESEND_INTERVAL = SOAK_TIME // 10  # between two sends of a command that has had no effect yet
CONTACT_TIMEOUT = 150_000  # a member without contact for longer counts as unreachable
MAX_ON_TARGET_DROP = 0.02  # absolute difference of mean ratios, see `Rollout._gate_failure`


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """Event: a member reports its generation and the health of its directors.

    Attributes:
        name: The member.
        generation: The member's active generation.
        command_id: The command that set the generation.
        author: The author of that command.
        ready: Whether all directors of the member are ready.
        on_target_ratio: Share of requests that met their latency target, 0 to 1.
        crash_count: Number of crashes of the member's directors.
    """

    name: str
    generation: int
    command_id: str
    author: str
    ready: bool
    on_target_ratio: float
    crash_count: int


@dataclass(frozen=True, slots=True)
class CommandAnswered:
    """Event: a member answered a command."""

    name: str
    result: CommandResult


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Event: time has passed, so that timeouts may have expired."""


@dataclass(frozen=True, slots=True)
class SetPaused:
    """Event: the operator pauses or resumes the rollout."""

    paused: bool


Event: TypeAlias = MemberStatus | CommandAnswered | TimePassed | SetPaused


class RolloutOutcome(StrEnum):
    """How a rollout ended."""

    COMPLETED = "done"
    ROLLED_BACK = "undone"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class SendCommand:
    """Action: send a command to a member."""

    name: str
    command: Command


@dataclass(frozen=True, slots=True)
class RolloutFinished:
    """Action: report to the operator how the rollout ended and why."""

    outcome: RolloutOutcome
    reason: str


Action: TypeAlias = SendCommand | RolloutFinished


class RolloutState(StrEnum):
    """States of a rollout.

    While it is paused, or a member of a started wave is unreachable, it is `HOLDING`: it sends nothing, but a
    gate that fails still starts a rollback.
    """

    ROLLING = "rolling"
    HOLDING = "holding"
    ROLLING_BACK = "undoing"
    FINISHED = "over"


class Revision(StrEnum):
    """Which specification a command sets; the values are part of stored command ids."""

    NEW = "new"
    PREVIOUS = "old"


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """What a rollout changes; any tool that has the plan can continue the rollout.

    Attributes:
        name: The rollout's name, which is part of its command ids.
        author: The operator who requested the change.
        reason: The reason for the change, as free text.
        members: The members to change.
        max_unavailable: Maximum number of members per branch that change at once; see `plan_waves`.
    """

    name: str
    author: str
    reason: str
    members: tuple[Member, ...]
    max_unavailable: Mapping[str, int]


class Rollout:
    """One rollout, as a pure state machine with `handle` as its entry point.

    Attributes:
        state: The rollout's state.
        status: Why it is on hold or rolled back, as text for operators; empty while it is rolling.
        current_wave: Index of the latest wave that has started; -1 before the first.
    """

    def __init__(self, plan: RolloutPlan, now: int) -> None:
        self.state = RolloutState.ROLLING
        self.status = ""
        self.current_wave = -1
        self._plan = plan
        self._members = {member.name: member for member in plan.members}
        self._waves = plan_waves(plan.members, plan.max_unavailable)
        self._soak_started_at = now  # reset while a member of a started wave is not updated
        self._last_sent: dict[str, int] = {}  # instant of the latest send, by command id
        self._last_contact = dict.fromkeys(self._members, now)
        self._latest_status: dict[str, MemberStatus] = {}
        self._initial_crash_count: dict[str, int] = {}
        self._rollback_pending: list[str] = []
        self._paused = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Applies an event at the instant `now` and returns the actions for it, in order.

        A conflict with another operator's change ends the rollout at once.
        """
        if self.state is RolloutState.FINISHED:
            return []
        match event:
            case SetPaused(paused=paused):
                self._paused = paused
            case MemberStatus(name=name) if name in self._members:
                self._record_status(now, event)
                if self._is_foreign_change(event):
                    return self._finish_in_conflict(
                        f"{name} is at generation {event.generation}, set by {event.author}"
                    )
            case CommandAnswered(name=name) if name in self._members:
                conflict = self._on_command_answered(now, event)
                if conflict:
                    return conflict
        return self._advance(now)

    def _record_status(self, now: int, status: MemberStatus) -> None:
        self._last_contact[status.name] = now
        self._latest_status[status.name] = status
        self._initial_crash_count.setdefault(status.name, status.crash_count)

    def _on_command_answered(self, now: int, event: CommandAnswered) -> list[Action]:
        """Processes an answer; returns the action that ends the rollout if the answer shows a conflict."""
        self._last_contact[event.name] = now
        if event.result.accepted:
            return []
        current = event.result.current
        if self._is_from_this_rollout(event.name, current.command_id):
            return []  # already set by a command of this rollout, from this tool or another one
        if event.result.is_write_failure:
            self._begin_rollback(f"{event.name}: {event.result.reason}")
            return []
        return self._finish_in_conflict(
            f"{event.name} is at generation {current.generation}, set by {current.author}: {current.reason}"
        )

    def _advance(self, now: int) -> list[Action]:
        if self.state is RolloutState.ROLLING_BACK:
            return self._roll_back(now)
        self._update_hold_state(now)
        failure = self._gate_failure()
        if failure:
            self._begin_rollback(failure)
            return self._roll_back(now)
        if self.state is RolloutState.HOLDING:
            return []
        return self._roll_forward(now)

    def _update_hold_state(self, now: int) -> None:
        unreachable = [name for name in self._started_members() if self._is_unreachable(now, name)]
        if unreachable:
            self.status = f"no contact with {unreachable[0]}"
        elif self._paused:
            self.status = "paused"
        else:
            self.status = ""
        self.state = RolloutState.HOLDING if self.status else RolloutState.ROLLING

    def _roll_forward(self, now: int) -> list[Action]:
        """Starts the next wave once the current one is updated and soaked, and sends outstanding commands.

        After the last wave it finishes the rollout.
        """
        started = self._started_members()
        soak_time = SOAK_TIME if started else 0
        if not all(self._is_updated(name) for name in started):
            self._soak_started_at = now
        elif now >= self._soak_started_at + soak_time:
            if self.current_wave + 1 == len(self._waves):
                summary = f"{len(started)} members in {len(self._waves)} waves"
                return self._finish(RolloutOutcome.COMPLETED, summary)
            self.current_wave += 1
            self._soak_started_at = now
        actions: list[Action] = []
        for name in self._started_members():
            if not self._runs(name, Revision.NEW):
                actions += self._send(now, name, Revision.NEW)
        return actions

    def _gate_failure(self) -> str:
        """Returns why the gate fails, or an empty text.

        It fails if a director of a changed member has crashed, or if the mean on-target ratio of the changed
        members is too far below that of the members of later waves.
        """
        started = self._started_members()
        changed = [name for name in started if self._runs(name, Revision.NEW)]
        for name in changed:
            if self._latest_status[name].crash_count > self._initial_crash_count.get(name, 0):
                return f"{name}: a director of it crashed"
        statuses = [self._latest_status[name] for name in changed]
        new_ratios = [status.on_target_ratio for status in statuses if status.ready]
        previous_ratios = [
            status.on_target_ratio for name, status in self._latest_status.items() if name not in started
        ]
        if not new_ratios or not previous_ratios:
            return ""
        new_mean = sum(new_ratios) / len(new_ratios)
        previous_mean = sum(previous_ratios) / len(previous_ratios)
        if new_mean < previous_mean - MAX_ON_TARGET_DROP:
            return f"{100 * new_mean:.1f}% in target on the new one, {100 * previous_mean:.1f}% on the old"
        return ""

    def _begin_rollback(self, reason: str) -> None:
        self.state = RolloutState.ROLLING_BACK
        self.status = reason
        self._rollback_pending = [
            name
            for name in self._started_members()
            if self._command_id(name, Revision.NEW) in self._last_sent or self._runs(name, Revision.NEW)
        ]

    def _roll_back(self, now: int) -> list[Action]:
        """Rolls all changed members back at once, as the previous specification is known to be good.

        The rollback finishes when each member has reported the previous specification or is unreachable.
        """
        self._rollback_pending = [
            name for name in self._rollback_pending if not self._runs(name, Revision.PREVIOUS)
        ]
        pending = self._rollback_pending
        if all(self._is_unreachable(now, name) for name in pending):
            unreachable = f"; no contact with {', '.join(pending)}" if pending else ""
            return self._finish(RolloutOutcome.ROLLED_BACK, self.status + unreachable)
        return [action for name in pending for action in self._send(now, name, Revision.PREVIOUS)]

    def _send(self, now: int, name: str, revision: Revision) -> list[Action]:
        command_id = self._command_id(name, revision)
        last_sent = self._last_sent.get(command_id)
        if last_sent is not None and now < last_sent + RESEND_INTERVAL:
            return []
        self._last_sent[command_id] = now
        if revision is Revision.NEW:
            return [SendCommand(name, self._forward_command(name))]
        return [SendCommand(name, self._rollback_command(name))]

    def _forward_command(self, name: str) -> Command:
        member = self._members[name]
        return Command(
            command_id=self._command_id(name, Revision.NEW),
            expected_generation=member.generation,
            author=self._plan.author,
            reason=self._plan.reason,
            spec=member.new_spec,
        )

    def _rollback_command(self, name: str) -> Command:
        """Returns the command that sets the previous specification.

        It is also sent to a member that does not run the new specification: it moves the member past the
        generation that the command for the new one expects, so that the command for the new one is rejected
        if it is still in transit.
        """
        member = self._members[name]
        expected_generation = member.generation + self._runs(name, Revision.NEW)
        return Command(
            command_id=f"{self._command_id(name, Revision.PREVIOUS)}@{expected_generation}",
            expected_generation=expected_generation,
            author=self._plan.author,
            reason=f"undone: {self.status}",
            spec=member.previous_spec,
        )

    def _finish(self, outcome: RolloutOutcome, reason: str) -> list[Action]:
        self.state = RolloutState.FINISHED
        return [RolloutFinished(outcome, reason)]

    def _finish_in_conflict(self, reason: str) -> list[Action]:
        """Ends the rollout because another operator's change is active on a member, and keeps that change."""
        return self._finish(RolloutOutcome.CONFLICT, reason)

    def _started_members(self) -> list[str]:
        """Returns the members of all waves that have started."""
        return [name for wave in self._waves[: self.current_wave + 1] for name in wave]

    def _is_unreachable(self, now: int, name: str) -> bool:
        return now > self._last_contact[name] + CONTACT_TIMEOUT

    def _is_foreign_change(self, status: MemberStatus) -> bool:
        changed = status.generation > self._members[status.name].generation
        return changed and not self._is_from_this_rollout(status.name, status.command_id)

    def _is_from_this_rollout(self, name: str, command_id: str) -> bool:
        return command_id.startswith(self._command_id_prefix(name))

    def _command_id_prefix(self, name: str) -> str:
        return f"{self._plan.name}/{name}/"

    def _command_id(self, name: str, revision: Revision) -> str:
        return f"{self._command_id_prefix(name)}{revision.value}"

    def _runs(self, name: str, revision: Revision) -> bool:
        """Returns whether the member's latest status shows the specification of that revision."""
        status = self._latest_status.get(name)
        return status is not None and status.command_id.startswith(self._command_id(name, revision))

    def _is_updated(self, name: str) -> bool:
        """Returns whether the member runs the new specification and all its directors are ready."""
        return self._runs(name, Revision.NEW) and self._latest_status[name].ready
