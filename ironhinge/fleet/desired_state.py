"""The desired state of one agent: the active generation, who set it, and the results of commands.

A command is a compare-and-set: it names the generation that it replaces. It is accepted as a whole, or
rejected with the entry that is active instead. An accepted command takes effect, and is answered, once its
entry is durable.

A repeated command gets the same result and has no further effect, also after the agent has restarted. A
delayed command names an old generation and is therefore rejected: generations serve as fencing tokens.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple, TypeAlias

from .errors import GenerationOrderError

MAX_REMEMBERED_RESULTS = 1024  # one per command; a repeat of an older command is rejected by its generation
MAX_HISTORY = 64  # entries that a rollback can return to
WRITE_FAILURE = "could not be written"  # `CommandResult.is_write_failure` matches this text

DirectorSpec: TypeAlias = tuple[tuple[str, str], ...]
"""Pairs of a director's name and the digest of its configuration."""


@dataclass(frozen=True, slots=True)
class Command:
    """An operator's command that replaces the directors of one agent.

    Attributes:
        command_id: Identifies the command; a repeated command has the same id.
        expected_generation: The generation that was active when the operator requested the change.
        author: The operator who requested the change.
        reason: The reason for the change, as free text.
        spec: All directors that the agent is to run.
    """

    command_id: str
    expected_generation: int
    author: str
    reason: str
    spec: DirectorSpec


class Entry(NamedTuple):
    """One generation, as the journal stores it.

    The stored form depends on the order of the fields; see `journal`.
    """

    generation: int
    command_id: str
    author: str
    reason: str
    created_at_ms: int
    spec: DirectorSpec

    def configs(self) -> dict[str, str]:
        """Returns the digest of each director's configuration by the director's name."""
        return dict(self.spec)


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The answer to a command.

    Attributes:
        command_id: The command that is answered.
        accepted: Whether the command took effect.
        current: The entry that was active after the command was first processed.
        reason: Why the command was rejected; empty if it was accepted.
    """

    command_id: str
    accepted: bool
    current: Entry
    reason: str = ""

    @property
    def is_write_failure(self) -> bool:
        """Whether the command was rejected because its entry could not be written to the journal."""
        return WRITE_FAILURE in self.reason


@dataclass(frozen=True, slots=True)
class CommandReceived:
    """Event: a command arrived.

    Attributes:
        command: The command.
        received_at_ms: When it arrived, in milliseconds of Unix time.
    """

    command: Command
    received_at_ms: int


@dataclass(frozen=True, slots=True)
class EntryPersisted:
    """Event: the entry of this generation is durable."""

    generation: int


@dataclass(frozen=True, slots=True)
class EntryWriteFailed:
    """Event: the entry of this generation is not durable and will not become durable."""

    generation: int
    reason: str


@dataclass(frozen=True, slots=True)
class AppendEntry:
    """Action: append the entry to the journal durably, then report `EntryPersisted` or `EntryWriteFailed`."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class ActivateGeneration:
    """Action: the entry is active; pass it to the supervisor."""

    entry: Entry


Event: TypeAlias = CommandReceived | EntryPersisted | EntryWriteFailed
Action: TypeAlias = AppendEntry | ActivateGeneration | CommandResult

INITIAL_ENTRY = Entry(0, "", "nobody", "initial state", 0, ())


class DesiredState:
    """The desired state of one agent, as a pure state machine with `handle` as its entry point.

    Attributes:
        history: The latest entries, oldest first; the last one is active.
    """

    def __init__(self, entries: Sequence[Entry] = ()) -> None:
        """Restores the state from a journal.

        Args:
            entries: The journal's entries, oldest first.

        Raises:
            GenerationOrderError: The generations are not consecutive from 1.
        """
        self.history: deque[Entry] = deque([INITIAL_ENTRY], MAX_HISTORY)
        self._results: OrderedDict[str, CommandResult] = OrderedDict()  # by command id, oldest first
        self._unpersisted: Entry | None = None  # the entry that is being written
        self._queue: deque[CommandReceived] = deque()
        for entry in entries:
            expected = self.current.generation + 1
            if entry.generation != expected:
                raise GenerationOrderError(entry.generation, expected)
            self._activate(entry)

    @property
    def current(self) -> Entry:
        """The active entry."""
        return self.history[-1]

    def handle(self, event: Event) -> list[Action]:
        """Applies an event and returns the actions for it, in order.

        A command that arrives while an entry is being written waits until that write has finished.
        """
        actions: list[Action] = []
        if isinstance(event, CommandReceived):
            self._queue.append(event)
        elif self._unpersisted is None or event.generation != self._unpersisted.generation:
            return actions  # a delayed report on an entry whose write has already finished
        else:
            actions += self._on_write_finished(self._unpersisted, event)
        while self._queue and self._unpersisted is None:
            actions.append(self._process_command(self._queue.popleft()))
        return actions

    def entry_before(self, generation: int) -> Entry | None:
        """Returns the entry that a generation replaced, or None if it is no longer in the history."""
        for older, newer in pairwise(self.history):
            if newer.generation == generation:
                return older
        return None

    def _on_write_finished(self, entry: Entry, event: EntryPersisted | EntryWriteFailed) -> list[Action]:
        self._unpersisted = None
        if isinstance(event, EntryPersisted):
            return [ActivateGeneration(entry), self._activate(entry)]
        # The result is not remembered, so that a repeat of the command can succeed.
        return [CommandResult(entry.command_id, False, self.current, f"{WRITE_FAILURE}: {event.reason}")]

    def _process_command(self, received: CommandReceived) -> AppendEntry | CommandResult:
        command = received.command
        known_result = self._results.get(command.command_id)
        if known_result is not None:
            return known_result
        if command.expected_generation != self.current.generation:
            reason = f"generation {self.current.generation} is active, not {command.expected_generation}"
            return self._reject(command, reason)
        names = [name for name, _ in command.spec]
        if len(set(names)) != len(names):
            return self._reject(command, "the specification names a director twice")
        self._unpersisted = Entry(
            generation=self.current.generation + 1,
            command_id=command.command_id,
            author=command.author,
            reason=command.reason,
            created_at_ms=received.received_at_ms,
            spec=tuple(sorted(command.spec)),
        )
        return AppendEntry(self._unpersisted)

    def _reject(self, command: Command, reason: str) -> CommandResult:
        return self._remember(CommandResult(command.command_id, False, self.current, reason))

    def _activate(self, entry: Entry) -> CommandResult:
        self.history.append(entry)
        return self._remember(CommandResult(entry.command_id, True, entry))

    def _remember(self, result: CommandResult) -> CommandResult:
        self._results[result.command_id] = result
        while len(self._results) > MAX_REMEMBERED_RESULTS:
            self._results.popitem(last=False)
        return result
