"""Supervision of an agent's directors: start, drain, restart with backoff, and stop in a crash loop.

A director whose configuration changes is drained and started again once it has exited; if it does not exit
within `DRAIN_TIMEOUT` it is killed. A director that is not ready within `READY_TIMEOUT` is killed as well.
Every exit that was not a drain is a crash: the director is restarted after a backoff, which doubles with each
crash and is reset once the director has run for `CRASH_WINDOW`. After `MAX_CRASHES` crashes within
`CRASH_WINDOW` it has failed and stays down until another generation is activated.

The module does no I/O: `Supervisor.handle` returns the actions for the processes. Instants and durations are
in ticks of a tenth of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypeAlias

from .desired_state import Entry

TICKS_PER_SECOND = 10_000
INITIAL_BACKOFF = TICKS_PER_SECOND // 5
MAX_BACKOFF = 30 * TICKS_PER_SECOND
MAX_CRASHES = 5
CRASH_WINDOW = 60 * TICKS_PER_SECOND
# A director answers all admitted requests before the platform may send SIGKILL, which is at most 3.7 s after
# SIGTERM, and closes its connections at most 0.7 s later; see `ironhinge.net.shutdown`.
DRAIN_TIMEOUT = 4 * TICKS_PER_SECOND + TICKS_PER_SECOND // 2
READY_TIMEOUT = 10 * TICKS_PER_SECOND


@dataclass(frozen=True, slots=True)
class GenerationActivated:
    """Event: a generation was activated."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class ChildReady:
    """Event: a director reports that it is ready."""

    name: str
    pid: int


@dataclass(frozen=True, slots=True)
class ChildExited:
    """Event: a director's process has exited."""

    name: str
    pid: int
    exit_code: int


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Event: time has passed, so that timeouts may have expired."""


Event: TypeAlias = GenerationActivated | ChildReady | ChildExited | TimePassed


@dataclass(frozen=True, slots=True)
class StartChild:
    """Action: start a director with the configuration of this digest."""

    name: str
    config: str


@dataclass(frozen=True, slots=True)
class DrainChild:
    """Action: have a director finish its requests and exit."""

    name: str


@dataclass(frozen=True, slots=True)
class KillChild:
    """Action: kill a director's process."""

    name: str


Action: TypeAlias = StartChild | DrainChild | KillChild


class ChildState(StrEnum):
    """States of a director; `Supervisor.states` returns the values."""

    DOWN = "down"
    STARTING = "starting"
    RUNNING = "up"
    DRAINING = "draining"
    BACKOFF = "waits"
    FAILED = "broken"


_STATES_WITHOUT_PROCESS = (ChildState.DOWN, ChildState.BACKOFF, ChildState.FAILED)
_DRAINABLE_STATES = (ChildState.STARTING, ChildState.RUNNING)


@dataclass(slots=True)
class Child:
    """The state of one director.

    Attributes:
        desired_config: Digest of the configuration that the director should run; None if it should be down.
        running_config: Digest of the configuration that its process was started with; None without a process.
        state: The director's state.
        state_since: When it was started, became ready or was last killed while starting.
        deadline: When its drain times out or its backoff ends.
        crash_times: Its crashes within `CRASH_WINDOW` of the latest one.
        backoff: Duration of the next backoff.
    """

    desired_config: str | None
    running_config: str | None = None
    state: ChildState = ChildState.DOWN
    state_since: int = 0
    deadline: int = 0
    crash_times: list[int] = field(default_factory=list)
    backoff: int = INITIAL_BACKOFF

    def reset_crashes(self) -> None:
        """Forgets earlier crashes, so that the director is started at once."""
        self.state = ChildState.DOWN
        self.crash_times = []
        self.backoff = INITIAL_BACKOFF

    def record_exit(self, now: int) -> None:
        """Records that the process has exited, and sets whether and when it is restarted."""
        self.running_config = None
        if self.state is ChildState.DRAINING:
            self.state = ChildState.DOWN
            return
        self.crash_times = [at for at in self.crash_times if at > now - CRASH_WINDOW]
        self.crash_times.append(now)
        if len(self.crash_times) >= MAX_CRASHES:
            self.state = ChildState.FAILED
            return
        self.state = ChildState.BACKOFF
        self.deadline = now + self.backoff
        self.backoff = min(MAX_BACKOFF, 2 * self.backoff)


class Supervisor:
    """The supervisor of one agent's directors, as a pure state machine with `handle` as its entry point.

    Attributes:
        children: The directors that should run or whose processes still run, by name.
        generation: The active generation.
    """

    def __init__(self) -> None:
        self.children: dict[str, Child] = {}
        self.generation = 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Applies an event at the instant `now` and returns the actions for it, in order."""
        match event:
            case GenerationActivated(entry=entry):
                self._on_generation_activated(entry)
            case ChildReady(name=name):
                self._on_child_ready(now, name)
            case ChildExited(name=name) if name in self.children:
                self.children[name].record_exit(now)
        actions: list[Action] = []
        for name, child in list(self.children.items()):
            actions += self._advance(now, name, child)
            if child.desired_config is None and child.state in _STATES_WITHOUT_PROCESS:
                del self.children[name]
        return actions

    def states(self) -> dict[str, str]:
        """Returns the state of each director by name, to be shown to operators."""
        return {name: child.state.value for name, child in sorted(self.children.items())}

    def _on_generation_activated(self, entry: Entry) -> None:
        if entry.generation <= self.generation:
            return  # a delayed event of an earlier generation
        self.generation = entry.generation
        configs = entry.configs()
        for name, config in configs.items():
            child = self.children.setdefault(name, Child(config))
            child.desired_config = config
            if child.state in (ChildState.FAILED, ChildState.BACKOFF):
                child.reset_crashes()
        for name, child in self.children.items():
            if name not in configs:
                child.desired_config = None

    def _on_child_ready(self, now: int, name: str) -> None:
        child = self.children.get(name)
        if child is not None and child.state is ChildState.STARTING:
            child.state = ChildState.RUNNING
            child.state_since = now

    def _advance(self, now: int, name: str, child: Child) -> list[Action]:
        if child.state is ChildState.BACKOFF and now >= child.deadline:
            child.state = ChildState.DOWN
        if child.state is ChildState.DOWN and child.desired_config is not None:
            child.state = ChildState.STARTING
            child.state_since = now
            child.running_config = child.desired_config
            return [StartChild(name, child.desired_config)]
        if child.state in _DRAINABLE_STATES and child.running_config != child.desired_config:
            child.state = ChildState.DRAINING
            child.deadline = now + DRAIN_TIMEOUT
            return [DrainChild(name)]
        return self._check_timeouts(now, name, child)

    def _check_timeouts(self, now: int, name: str, child: Child) -> list[Action]:
        if child.state is ChildState.DRAINING and now >= child.deadline:
            child.deadline = now + DRAIN_TIMEOUT  # it is killed again if it has not exited by then
            return [KillChild(name)]
        if child.state is ChildState.STARTING and now >= child.state_since + READY_TIMEOUT:
            child.state_since = now
            return [KillChild(name)]
        if child.state is ChildState.RUNNING and now >= child.state_since + CRASH_WINDOW:
            child.backoff = INITIAL_BACKOFF
        return []
