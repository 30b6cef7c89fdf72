"""Generations, journals, children and rollouts: pure state machines under delays, doubles and crashes."""

from random import Random

import pytest

from ironhinge.fleet.children import (
    BACK_OFF,
    DRAIN,
    MOST,
    READY,
    Children,
    Drain,
    Ended,
    Kill,
    Start,
    Tick,
    Told,
    Up,
)
from ironhinge.fleet.desired import (
    Answer,
    Append,
    Appended,
    Asked,
    Command,
    Desired,
    Entry,
    InForce,
    NotAppended,
)
from ironhinge.fleet.journal import Broken, line, read
from ironhinge.fleet.rollout import (
    LOST_FOR,
    SOAK,
    Answered,
    Health,
    Member,
    Over,
    Pause,
    Rollout,
    Send,
    plan,
)
from ironhinge.fleet.rollout import Tick as RollTick

SPEC = (("n0", "one"), ("n1", "one"))


def command(id_, expect, who="ada", spec=SPEC):
    return Command(id_, expect, who, "a reason", spec)


def win(one, id_, expect, **other):
    (act,) = one.step(Asked(command(id_, expect, **other), 5))
    assert type(act) is Append
    return one.step(Appended(act.entry.generation))


def test_one_of_two_conflicting_commands_wins_whole_and_the_other_learns_of_it():
    one = Desired()
    (append,) = one.step(Asked(command("a", 0), 5))
    assert one.step(Asked(command("b", 0, "bob"), 6)) == []  # not before the first is settled
    force, won, lost = one.step(Appended(1))
    assert force == InForce(append.entry) and won == Answer("a", True, append.entry)
    assert not lost.won and (lost.stands.who, lost.stands.at_ms) == ("ada", 5) and one.stands.id == "a"


def test_a_command_that_comes_again_does_nothing_also_after_a_restart():
    one = Desired()
    win(one, "a", 0)
    assert one.step(Asked(command("a", 0), 9)) == [Answer("a", True, one.stands)]
    again = Desired(tuple(one.history)[1:])
    assert again.step(Asked(command("a", 0), 9)) == [Answer("a", True, one.stands)]
    (late,) = again.step(Asked(command("old", 0), 9))
    assert not late.won, "a delayed command of an earlier generation"


def test_what_could_not_be_written_is_not_in_force_and_may_be_asked_again():
    one = Desired()
    one.step(Asked(command("a", 0), 5))
    (answer,) = one.step(NotAppended(1, "no space left"))
    assert not answer.won and "no space" in answer.reason and one.stands.generation == 0
    assert one.step(Appended(1)) == []
    assert win(one, "a", 0)[1].won


def test_a_journal_is_read_up_to_what_was_not_written_whole():
    one = Desired()
    for at in range(5):
        win(one, f"c{at}", at)
    data = b"".join(map(line, tuple(one.history)[1:]))
    assert read(data) == (list(one.history)[1:], len(data))
    for cut in range(len(data)):
        entries, whole = read(data[:cut])
        assert entries == list(one.history)[1 : 1 + len(entries)] and data[:whole].count(b"\n") == len(
            entries
        )
    bad = bytearray(data)
    bad[30] ^= 1
    with pytest.raises(Broken):
        read(bytes(bad))
    with pytest.raises(ValueError):
        Desired((one.history[2],))


@pytest.mark.parametrize("seeds", range(10))
def test_two_operators_among_delays_doubles_and_crashes(seeds):
    """1,000 interleavings in all: no two commands in one generation, none twice, none without an answer."""
    for seed in range(100 * seeds, 100 * seeds + 100):
        chance = Random(seed)
        agent, journal, force = Desired(), b"", []
        todo = [command(f"{who}{at}", chance.randrange(6), who) for who in ("ada", "bob") for at in range(6)]
        wire, answers, writing = list(todo), {}, []
        while wire or writing:
            dice = chance.random()
            acts = []
            if dice < 0.1:  # the agent is killed; what it was writing may be there, or in part, or not
                for entry in writing:
                    data = line(entry)
                    journal += data[: chance.choice([0, chance.randrange(len(data)), len(data)])]
                writing = []
                entries, whole = read(journal)
                journal, agent = journal[:whole], Desired(tuple(entries))
                assert [entry.id for entry in entries][: len(force)] == force, (
                    "in force, and then not any more"
                )
                force = [entry.id for entry in entries]
            elif dice < 0.4 and writing:
                entry = writing.pop(0)
                if chance.random() < 0.1:
                    acts = agent.step(NotAppended(entry.generation, "no space left"))
                else:
                    journal += line(entry)
                    acts = agent.step(Appended(entry.generation))
            elif wire:
                one = wire.pop(chance.randrange(len(wire)))
                if chance.random() < 0.2:
                    wire.append(one)  # doubled
                acts = agent.step(Asked(one, seed))
            for act in acts:
                if type(act) is Append:
                    writing.append(act.entry)
                elif type(act) is InForce:
                    force.append(act.entry.id)
                else:
                    answers[act.id] = act
            if not wire and not writing:  # operators ask again for what they have no answer to
                wire = [one for one in todo if one.id not in answers]
        assert len(force) == len(set(force)) and set(answers) == {one.id for one in todo}
        entries, _ = read(journal)
        assert [entry.generation for entry in entries] == list(range(1, len(entries) + 1))
        won = {id_ for id_, answer in answers.items() if answer.won}
        assert won <= set(force)


# Children


def entry(generation, **spec):
    return Entry(generation, "x", "ada", "", 0, tuple(spec.items()))


def test_a_new_configuration_drains_then_starts():
    one = Children()
    assert one.step(0, Told(entry(1, n0="a", n1="a"))) == [Start("n0", "a"), Start("n1", "a")]
    one.step(10, Up("n0", 7))
    one.step(10, Up("n1", 8))
    assert one.step(20, Told(entry(2, n0="b", n1="a"))) == [Drain("n0")]
    assert one.step(21, Tick()) == [] and one.step(30, Ended("n0", 7, 0)) == [Start("n0", "b")]
    assert one.step(40, Told(entry(1, n0="a"))) == [], "a word of an earlier generation"
    assert one.step(50, Told(entry(3, n0="b"))) == [Drain("n1")]
    one.step(60, Ended("n1", 8, 0))
    assert one.plain() == {"n0": "starting"}


def test_one_that_ignores_its_drain_is_ended_by_force():
    one = Children()
    one.step(0, Told(entry(1, n0="a")))
    one.step(1, Up("n0", 7))
    assert one.step(2, Told(entry(2))) == [Drain("n0")]
    assert one.step(2 + DRAIN - 1, Tick()) == [] and one.step(2 + DRAIN, Tick()) == [Kill("n0")]
    assert one.step(3 + DRAIN, Ended("n0", 7, -9)) == [] and not one.children


def test_one_that_crashes_is_started_later_and_later_until_it_is_broken():
    one, now, waits = Children(), 0, []
    one.step(0, Told(entry(1, n0="a")))
    for _ in range(MOST - 1):
        assert one.step(now, Ended("n0", 7, 1)) == []
        began = now
        while not (acts := one.step(now, Tick())):
            now += 100
        assert acts == [Start("n0", "a")]
        waits.append(now - began)
    assert waits == sorted(waits) and waits[-1] >= 4 * BACK_OFF
    one.step(now, Ended("n0", 7, 1))
    assert one.plain() == {"n0": "broken"} and one.step(now + 10**7, Tick()) == []
    assert one.step(now, Told(entry(2, n0="b"))) == [Start("n0", "b")]


def test_one_that_never_gets_ready_is_ended():
    one = Children()
    one.step(0, Told(entry(1, n0="a")))
    assert one.step(READY, Tick()) == [Kill("n0")]


# Rollouts


def members(count=12, branches=4):
    return tuple(
        Member(f"m{at:02}", f"b{at % branches}", 3, (("n", "old"),), (("n", "new"),)) for at in range(count)
    )


def test_waves_grow_and_leave_each_branch_its_capacity():
    waves = plan(members(), {"b0": 2})
    assert [len(wave) for wave in waves] == [1, 2, 4, 3, 2]
    branch = {member.name: member.branch for member in members()}
    for wave in waves:
        for name in branch.values():
            assert sum(branch[each] == name for each in wave) <= (2 if name == "b0" else 1)
    assert sorted(sum(waves, [])) == [member.name for member in members()]


class Fleet:
    """Members as desired states, over a network that loses; some of them cut off, or badly off with the new
    one."""

    def __init__(self, seed, bad=(), cut=(), lost=0.2):
        self.chance, self.bad, self.cut, self.lost = Random(seed), set(bad), set(cut), lost
        self.agents = {}
        for member in members():
            self.agents[member.name] = Desired()
            for at in range(3):
                win(self.agents[member.name], f"before{at}", at, spec=(("n", "old"),))
        self.crashes = dict.fromkeys(self.agents, 0)

    def health(self, name):
        new = dict(self.agents[name].stands.spec)["n"] == "new"
        worse = 0.3 if new and name in self.bad else 0.0
        stands = self.agents[name].stands
        return Health(name, stands.generation, stands.id, stands.who, True, 0.95 - worse, self.crashes[name])

    def play(self, tools, now=0, until=40 * SOAK):
        """Any number of tools with the same plan; how each ended."""
        ends = {}
        while now < until and len(ends) < len(tools):
            now += SOAK // 10
            for place, tool in enumerate(tools):
                events = [RollTick()]
                events += [self.health(name) for name in self.agents if self._through(name)]
                for event in events:
                    for act in tool.step(now, event):
                        self.carry_out(now, tool, act, ends, place)
        return [ends.get(place) for place in range(len(tools))], now

    def _through(self, name):
        return name not in self.cut and self.chance.random() > self.lost

    def carry_out(self, now, tool, act, ends, place):
        if type(act) is Over:
            ends[place] = act
        elif self._through(act.name):
            assert type(act) is Send
            agent = self.agents[act.name]
            acts = agent.step(Asked(act.command, now))
            if acts and type(acts[0]) is Append:
                acts = agent.step(Appended(acts[0].entry.generation))
            answer = acts[-1]
            if self._through(act.name):
                for more in tool.step(now, Answered(act.name, answer)):
                    self.carry_out(now, tool, more, ends, place)

    def on_new(self):
        return sorted(name for name, one in self.agents.items() if dict(one.stands.spec)["n"] == "new")


def rollout(name="r1", now=0):
    return Rollout(name, "ada", "a reason", members(), {}, now)


def test_a_good_change_reaches_all_over_a_network_that_loses():
    fleet = Fleet(1)
    (end,), _ = fleet.play([rollout()])
    assert end.how == "done" and len(fleet.on_new()) == 12
    assert {one.stands.generation for one in fleet.agents.values()} == {4}, "sent again, done once"


def test_a_bad_change_is_stopped_at_the_canary_and_undone_by_itself():
    fleet = Fleet(2, bad={member.name for member in members()})
    (end,), _ = fleet.play([rollout()])
    assert end.how == "undone" and "in target" in end.why and fleet.on_new() == []
    assert sum(one.stands.generation > 3 for one in fleet.agents.values()) == 1


def test_a_crash_in_a_later_wave_takes_all_back():
    fleet, tool = Fleet(3), rollout()
    now = 0
    while tool.wave < 2:
        _, now = fleet.play([tool], now, now + SOAK)
    name = fleet.on_new()[-1]
    fleet.crashes[name] += 1
    (end,), _ = fleet.play([tool], now)
    assert end.how == "undone" and "crashed" in end.why and fleet.on_new() == []


def test_a_member_that_is_cut_off_holds_the_rollout_and_a_pause_too():
    fleet, tool = Fleet(4, cut={"m01"}), rollout()
    _, now = fleet.play([tool], 0, 3 * LOST_FOR)
    assert tool.state == "holding" and tool.verdict == "no word from m01" and len(fleet.on_new()) <= 3
    fleet.cut = set()
    tool.step(now, Pause(True))
    (end,), now = fleet.play([tool], now, now + 5 * SOAK)
    assert end is None and tool.verdict == "paused"
    tool.step(now, Pause(False))
    (end,), _ = fleet.play([tool], now)
    assert end.how == "done"


def test_another_tool_takes_a_rollout_up_where_the_first_died():
    fleet, first = Fleet(5), rollout()
    now = 0
    while first.wave < 1:
        _, now = fleet.play([first], now, now + SOAK)
    second = rollout(now=now)
    (end,), _ = fleet.play([second], now)
    assert end.how == "done" and {one.stands.generation for one in fleet.agents.values()} == {4}
    both = Fleet(6)
    ends, _ = both.play([rollout(), rollout()])  # and two at once do nothing twice
    assert {end.how for end in ends} == {"done"}
    assert {one.stands.generation for one in both.agents.values()} == {4}


def test_of_two_operators_rollouts_one_ends_in_a_conflict_that_names_the_other():
    fleet = Fleet(7)
    ends, _ = fleet.play([rollout("r1"), Rollout("r2", "bob", "mine", members(), {}, 0)])
    assert sorted(end.how for end in ends if end) == ["conflict", "done"]
    assert any("of ada" in end.why or "of bob" in end.why for end in ends if end.how == "conflict")
