"""Desired states, journals, supervision and rollouts under message loss, delay, duplication and crashes."""

from random import Random

import pytest

from ironhinge.fleet.desired_state import (
    ActivateGeneration,
    AppendEntry,
    Command,
    CommandReceived,
    CommandResult,
    DesiredState,
    Entry,
    EntryPersisted,
    EntryWriteFailed,
)
from ironhinge.fleet.errors import CorruptJournalError, FleetError, GenerationOrderError
from ironhinge.fleet.journal import decode_journal, encode_entry
from ironhinge.fleet.rollout import (
    CONTACT_TIMEOUT,
    RESEND_INTERVAL,
    SOAK_TIME,
    CommandAnswered,
    MemberStatus,
    Rollout,
    RolloutFinished,
    RolloutOutcome,
    RolloutPlan,
    RolloutState,
    SendCommand,
    SetPaused,
)
from ironhinge.fleet.rollout import TimePassed as RolloutTimePassed
from ironhinge.fleet.supervisor import (
    DRAIN_TIMEOUT,
    INITIAL_BACKOFF,
    MAX_CRASHES,
    READY_TIMEOUT,
    ChildExited,
    ChildReady,
    DrainChild,
    GenerationActivated,
    KillChild,
    StartChild,
    Supervisor,
    TimePassed,
)
from ironhinge.fleet.waves import Member, plan_waves

SPEC = (("n0", "one"), ("n1", "one"))


def command(command_id, expected_generation, author="ada", spec=SPEC):
    return Command(command_id, expected_generation, author, "a reason", spec)


def accept(agent, command_id, expected_generation, **other):
    (action,) = agent.handle(CommandReceived(command(command_id, expected_generation, **other), 5))
    assert type(action) is AppendEntry
    return agent.handle(EntryPersisted(action.entry.generation))


def journal_entries(agent):
    """All entries but the initial one, which is never written."""
    return list(agent.history)[1:]


@pytest.fixture
def agent():
    return DesiredState()


def test_one_of_two_conflicting_commands_is_accepted_and_the_other_rejected(agent):
    (append,) = agent.handle(CommandReceived(command("a", 0), 5))
    assert agent.handle(CommandReceived(command("b", 0, "bob"), 6)) == [], (
        "answered before the first one is persisted"
    )
    activate, accepted, rejected = agent.handle(EntryPersisted(1))
    assert activate == ActivateGeneration(append.entry)
    assert accepted == CommandResult("a", True, append.entry)
    assert not rejected.accepted
    assert (rejected.current.author, rejected.current.created_at_ms) == ("ada", 5)
    assert agent.current.command_id == "a"


def test_repeated_command_has_no_effect_even_after_a_restart(agent):
    accept(agent, "a", 0)
    assert agent.handle(CommandReceived(command("a", 0), 9)) == [CommandResult("a", True, agent.current)]
    restarted = DesiredState(journal_entries(agent))
    assert restarted.handle(CommandReceived(command("a", 0), 9)) == [CommandResult("a", True, agent.current)]
    (delayed,) = restarted.handle(CommandReceived(command("old", 0), 9))
    assert not delayed.accepted, "accepted a command that expects an earlier generation"


def test_unwritten_entry_is_not_activated_and_its_command_can_be_sent_again(agent):
    agent.handle(CommandReceived(command("a", 0), 5))
    (result,) = agent.handle(EntryWriteFailed(1, "no space left"))
    assert not result.accepted
    assert result.is_write_failure
    assert "no space" in result.reason
    assert agent.current.generation == 0
    assert agent.handle(EntryPersisted(1)) == []
    assert accept(agent, "a", 0)[1].accepted


@pytest.fixture
def written_agent(agent):
    for generation in range(5):
        accept(agent, f"c{generation}", generation)
    return agent


@pytest.fixture
def journal(written_agent):
    return b"".join(map(encode_entry, journal_entries(written_agent)))


def test_a_journal_is_read_up_to_an_incomplete_last_line(written_agent, journal):
    written = journal_entries(written_agent)
    assert decode_journal(journal) == (written, len(journal))
    for cut in range(len(journal)):
        entries, valid_length = decode_journal(journal[:cut])
        assert entries == written[: len(entries)]
        assert journal[:valid_length].count(b"\n") == len(entries)


def test_journal_corrupt_before_its_last_line_is_rejected(journal):
    damaged = bytearray(journal)
    damaged[30] ^= 1
    with pytest.raises(CorruptJournalError, match="line at byte 0: checksum mismatch") as raised:
        decode_journal(bytes(damaged))
    assert isinstance(raised.value, FleetError)


def test_entries_out_of_order_are_rejected(written_agent):
    with pytest.raises(GenerationOrderError, match="found generation 2, expected 1") as raised:
        DesiredState((written_agent.history[2],))
    assert isinstance(raised.value, ValueError)


class Interleaving:
    """Commands of two operators to one agent that crashes, over a network that delays and duplicates."""

    def __init__(self, seed):
        self.seed, self.random = seed, Random(seed)
        self.agent, self.journal, self.activated = DesiredState(), b"", []
        self.commands = [
            command(f"{author}{number}", self.random.randrange(6), author)
            for author in ("ada", "bob")
            for number in range(6)
        ]
        self.in_transit, self.results, self.writing = list(self.commands), {}, []

    def run(self):
        while self.in_transit or self.writing:
            for action in self.step():
                self.perform(action)
            if not self.in_transit and not self.writing:  # operators resend commands that have no result
                self.in_transit = [one for one in self.commands if one.command_id not in self.results]

    def step(self):
        draw = self.random.random()
        if draw < 0.1:
            self.crash()
        elif draw < 0.4 and self.writing:
            return self.finish_write(self.writing.pop(0))
        elif self.in_transit:
            one = self.in_transit.pop(self.random.randrange(len(self.in_transit)))
            if self.random.random() < 0.2:
                self.in_transit.append(one)  # duplicated
            return self.agent.handle(CommandReceived(one, self.seed))
        return []

    def crash(self):
        """Kills and restarts the agent; each entry being written is stored whole, in part or not at all."""
        for entry in self.writing:
            line = encode_entry(entry)
            self.journal += line[: self.random.choice([0, self.random.randrange(len(line)), len(line)])]
        self.writing = []
        entries, valid_length = decode_journal(self.journal)
        self.journal, self.agent = self.journal[:valid_length], DesiredState(entries)
        stored = [entry.command_id for entry in entries]
        assert stored[: len(self.activated)] == self.activated, "lost an activated entry"
        self.activated = stored

    def finish_write(self, entry):
        if self.random.random() < 0.1:
            return self.agent.handle(EntryWriteFailed(entry.generation, "no space left"))
        self.journal += encode_entry(entry)
        return self.agent.handle(EntryPersisted(entry.generation))

    def perform(self, action):
        if type(action) is AppendEntry:
            self.writing.append(action.entry)
        elif type(action) is ActivateGeneration:
            self.activated.append(action.entry.command_id)
        else:
            self.results[action.command_id] = action


@pytest.mark.parametrize("seeds", range(10))
def test_commands_are_applied_once_under_delays_duplicates_and_crashes(seeds):
    """1,000 interleavings in all: a command per generation, none applied twice, none without a result."""
    for seed in range(100 * seeds, 100 * seeds + 100):
        interleaving = Interleaving(seed)
        interleaving.run()
        assert len(interleaving.activated) == len(set(interleaving.activated))
        assert set(interleaving.results) == {one.command_id for one in interleaving.commands}
        entries, _ = decode_journal(interleaving.journal)
        assert [entry.generation for entry in entries] == list(range(1, len(entries) + 1))
        accepted = {command_id for command_id, result in interleaving.results.items() if result.accepted}
        assert accepted <= set(interleaving.activated)


# Supervision


def entry(generation, **spec):
    return Entry(generation, "x", "ada", "", 0, tuple(spec.items()))


@pytest.fixture
def supervisor():
    return Supervisor()


def test_changed_configuration_drains_then_starts_a_director(supervisor):
    assert supervisor.handle(0, GenerationActivated(entry(1, n0="a", n1="a"))) == [
        StartChild("n0", "a"),
        StartChild("n1", "a"),
    ]
    supervisor.handle(10, ChildReady("n0", 7))
    supervisor.handle(10, ChildReady("n1", 8))
    assert supervisor.handle(20, GenerationActivated(entry(2, n0="b", n1="a"))) == [DrainChild("n0")]
    assert supervisor.handle(21, TimePassed()) == []
    assert supervisor.handle(30, ChildExited("n0", 7, 0)) == [StartChild("n0", "b")]
    assert supervisor.handle(40, GenerationActivated(entry(1, n0="a"))) == [], "applied an earlier generation"
    assert supervisor.handle(50, GenerationActivated(entry(3, n0="b"))) == [DrainChild("n1")]
    supervisor.handle(60, ChildExited("n1", 8, 0))
    assert supervisor.states() == {"n0": "starting"}


def test_director_that_exceeds_the_drain_timeout_is_killed(supervisor):
    supervisor.handle(0, GenerationActivated(entry(1, n0="a")))
    supervisor.handle(1, ChildReady("n0", 7))
    assert supervisor.handle(2, GenerationActivated(entry(2))) == [DrainChild("n0")]
    assert supervisor.handle(2 + DRAIN_TIMEOUT - 1, TimePassed()) == []
    assert supervisor.handle(2 + DRAIN_TIMEOUT, TimePassed()) == [KillChild("n0")]
    assert supervisor.handle(3 + DRAIN_TIMEOUT, ChildExited("n0", 7, -9)) == []
    assert not supervisor.children


def test_crashing_director_is_restarted_with_backoff_until_marked_broken(supervisor):
    now, backoffs = 0, []
    supervisor.handle(0, GenerationActivated(entry(1, n0="a")))
    for _ in range(MAX_CRASHES - 1):
        assert supervisor.handle(now, ChildExited("n0", 7, 1)) == []
        crashed_at = now
        while not (actions := supervisor.handle(now, TimePassed())):
            now += 100
        assert actions == [StartChild("n0", "a")]
        backoffs.append(now - crashed_at)
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] >= 4 * INITIAL_BACKOFF
    supervisor.handle(now, ChildExited("n0", 7, 1))
    assert supervisor.states() == {"n0": "broken"}
    assert supervisor.handle(now + 10**7, TimePassed()) == []
    assert supervisor.handle(now, GenerationActivated(entry(2, n0="b"))) == [StartChild("n0", "b")]


def test_director_that_is_never_ready_is_killed(supervisor):
    supervisor.handle(0, GenerationActivated(entry(1, n0="a")))
    assert supervisor.handle(READY_TIMEOUT, TimePassed()) == [KillChild("n0")]


# Rollouts


def members(count=12, branches=4):
    return tuple(
        Member(f"m{number:02}", f"b{number % branches}", 3, (("n", "old"),), (("n", "new"),))
        for number in range(count)
    )


def test_waves_grow_within_the_limit_of_each_branch():
    waves = plan_waves(members(), {"b0": 2})
    assert [len(wave) for wave in waves] == [1, 2, 4, 3, 2]
    branches = {member.name: member.branch for member in members()}
    for wave in waves:
        for branch in branches.values():
            limit = 2 if branch == "b0" else 1
            assert sum(branches[name] == branch for name in wave) <= limit
    assert sorted(name for wave in waves for name in wave) == [member.name for member in members()]


class Fleet:
    """The desired states of all members, over a network that loses messages.

    Some members may be unreachable, or miss their latency target with the new specification.
    """

    def __init__(self, seed, degraded=(), unreachable=(), loss=0.2):
        self.random, self.loss = Random(seed), loss
        self.degraded, self.unreachable = set(degraded), set(unreachable)
        self.agents = {}
        for member in members():
            self.agents[member.name] = DesiredState()
            for generation in range(3):
                accept(self.agents[member.name], f"before{generation}", generation, spec=(("n", "old"),))
        self.crash_counts = dict.fromkeys(self.agents, 0)

    def status(self, name):
        current = self.agents[name].current
        on_new_spec = current.configs()["n"] == "new"
        ratio = 0.95 - (0.3 if on_new_spec and name in self.degraded else 0.0)
        return MemberStatus(
            name,
            current.generation,
            current.command_id,
            current.author,
            True,
            ratio,
            self.crash_counts[name],
        )

    def play(self, rollouts, now=0, until=40 * SOAK_TIME):
        """Runs one rollout per tool; returns the final action of each (None while it runs) and the time."""
        ends = {}
        while now < until and len(ends) < len(rollouts):
            now += RESEND_INTERVAL
            for index, rollout in enumerate(rollouts):
                events = [RolloutTimePassed()]
                events += [self.status(name) for name in self.agents if self.is_delivered(name)]
                for event in events:
                    for action in rollout.handle(now, event):
                        self.perform(now, rollout, action, ends, index)
        return [ends.get(index) for index in range(len(rollouts))], now

    def is_delivered(self, name):
        return name not in self.unreachable and self.random.random() > self.loss

    def perform(self, now, rollout, action, ends, index):
        if type(action) is RolloutFinished:
            ends[index] = action
        elif self.is_delivered(action.name):
            assert type(action) is SendCommand
            agent = self.agents[action.name]
            results = agent.handle(CommandReceived(action.command, now))
            if results and type(results[0]) is AppendEntry:
                results = agent.handle(EntryPersisted(results[0].entry.generation))
            if self.is_delivered(action.name):
                for more in rollout.handle(now, CommandAnswered(action.name, results[-1])):
                    self.perform(now, rollout, more, ends, index)

    def on_new_spec(self):
        return sorted(name for name, agent in self.agents.items() if agent.current.configs()["n"] == "new")

    def generations(self):
        return {agent.current.generation for agent in self.agents.values()}


def new_rollout(name="r1", author="ada", reason="a reason", now=0):
    return Rollout(RolloutPlan(name, author, reason, members(), {}), now)


def test_good_change_reaches_all_members_over_a_lossy_network():
    fleet = Fleet(1)
    (end,), _ = fleet.play([new_rollout()])
    assert end.outcome is RolloutOutcome.COMPLETED
    assert len(fleet.on_new_spec()) == 12
    assert fleet.generations() == {4}, "a command sent again was applied again"


def test_bad_change_is_stopped_at_the_canary_and_rolled_back():
    fleet = Fleet(2, degraded={member.name for member in members()})
    (end,), _ = fleet.play([new_rollout()])
    assert end.outcome is RolloutOutcome.ROLLED_BACK
    assert "in target" in end.reason
    assert fleet.on_new_spec() == []
    assert sum(agent.current.generation > 3 for agent in fleet.agents.values()) == 1


def test_crash_in_a_later_wave_rolls_all_members_back():
    fleet, rollout = Fleet(3), new_rollout()
    now = 0
    while rollout.current_wave < 2:
        _, now = fleet.play([rollout], now, now + SOAK_TIME)
    name = fleet.on_new_spec()[-1]
    fleet.crash_counts[name] += 1
    (end,), _ = fleet.play([rollout], now)
    assert end.outcome is RolloutOutcome.ROLLED_BACK
    assert "crashed" in end.reason
    assert fleet.on_new_spec() == []


def test_unreachable_member_or_a_pause_suspends_the_rollout():
    fleet, rollout = Fleet(4, unreachable={"m01"}), new_rollout()
    _, now = fleet.play([rollout], 0, 3 * CONTACT_TIMEOUT)
    assert rollout.state is RolloutState.HOLDING
    assert rollout.status == "no contact with m01"
    assert len(fleet.on_new_spec()) <= 3
    fleet.unreachable = set()
    rollout.handle(now, SetPaused(True))
    (end,), now = fleet.play([rollout], now, now + 5 * SOAK_TIME)
    assert end is None
    assert rollout.status == "paused"
    rollout.handle(now, SetPaused(False))
    (end,), _ = fleet.play([rollout], now)
    assert end.outcome is RolloutOutcome.COMPLETED


def test_another_tool_resumes_the_rollout_of_a_crashed_one():
    fleet, first = Fleet(5), new_rollout()
    now = 0
    while first.current_wave < 1:
        _, now = fleet.play([first], now, now + SOAK_TIME)
    second = new_rollout(now=now)
    (end,), _ = fleet.play([second], now)
    assert end.outcome is RolloutOutcome.COMPLETED
    assert fleet.generations() == {4}


def test_two_concurrent_tools_change_each_member_once():
    fleet = Fleet(6)
    ends, _ = fleet.play([new_rollout(), new_rollout()])
    assert {end.outcome for end in ends} == {RolloutOutcome.COMPLETED}
    assert fleet.generations() == {4}


def test_one_of_two_operators_rollouts_ends_in_a_conflict_naming_the_other_operator():
    fleet = Fleet(7)
    ends, _ = fleet.play([new_rollout("r1"), new_rollout("r2", "bob", "mine")])
    assert sorted(end.outcome for end in ends if end) == [RolloutOutcome.CONFLICT, RolloutOutcome.COMPLETED]
    assert any(
        "set by ada" in end.reason or "set by bob" in end.reason
        for end in ends
        if end.outcome is RolloutOutcome.CONFLICT
    )


def test_conflict_in_a_command_result_ends_the_rollout():
    """Guards against overwriting the other operator's change and changing further members after that."""
    rollout, fleet, now = new_rollout(), Fleet(8, loss=0.0), 0
    (sent,) = [each for each in rollout.handle(now, RolloutTimePassed()) if type(each) is SendCommand]
    agent = fleet.agents[sent.name]
    accept(agent, "of bob", 3, spec=(("n", "his"),))
    result = agent.handle(CommandReceived(sent.command, now))[-1]
    (end,) = rollout.handle(now, CommandAnswered(sent.name, result))
    assert end.outcome is RolloutOutcome.CONFLICT
    assert rollout.state is RolloutState.FINISHED
    for later in range(RESEND_INTERVAL, 4 * SOAK_TIME, RESEND_INTERVAL):
        for event in (RolloutTimePassed(), *map(fleet.status, fleet.agents)):
            assert rollout.handle(later, event) == []
    assert fleet.on_new_spec() == []
