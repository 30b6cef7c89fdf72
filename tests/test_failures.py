"""One small test for each failure that was found."""

from random import Random

import pytest

from ironhinge import interface
from ironhinge.routing.hashing import RendezvousHasher, score
from ironhinge.routing.router import Req, Router

from .helpers import CACHES, deployment, outcome, req, router, row


def asked(acts):
    (act,) = acts
    assert type(act) in (interface.SendAttempt, interface.SendAttemptWithFill), act
    return act


def test_crowded_link_leaves_only_look_ups():
    one = router()
    acts = [asked(one.handle(10 + i, req("b%d" % i, obj=i, size=2000, left=60000))) for i in range(20)]
    for act in acts[:10]:
        one.handle(25000, outcome(act, "done", took=25000, note=2))
    for i in range(
        8
    ):  # half of them are still out, and those that came back took six times their sending time
        for act in one.handle(25001 + i, req("x%d" % i, obj=500 + i, size=2000)):
            assert (
                type(act) is interface.RejectRequest
                or getattr(act, "source_id", act.endpoint_id) == act.endpoint_id
            )


def test_given_up_reqs_are_answered_at_once():
    one = router(names=())
    (act,) = one.handle(5, req("a"))
    assert type(act) is interface.RejectRequest and act.retry_after <= 10000


def test_failing_parent_does_not_condemn_caches():
    one, now = router(deployment(fill_note_level="hit")), 0
    for i in range(60):
        now += 100
        act = asked(one.handle(now, req("a%d" % i, obj=i)))
        if getattr(act, "source_id", "") == "p0":
            retry = asked(one.handle(now + 80, outcome(act, "error", took=80)))
            one.handle(now + 90, outcome(retry, "done", 1, note=2))
        else:
            one.handle(now + 90, outcome(act, "done", note=1 if i % 2 else 2))
    assert one.nodes["p0"].bench and not any(one.nodes[name].bench for name in CACHES)


def test_resets_everywhere_bench_nobody():
    one, now = router(), 0
    for i in range(120):
        now += 100
        act = asked(one.handle(now, req("a%d" % i, obj=i)))
        number = 0
        while i % 3 == 0 and number < 2:
            act, number = asked(one.handle(now + 10, outcome(act, "reset", number))), number + 1
        one.handle(now + 50, outcome(act, "done", number, note=1))
    assert not any(one.nodes[name].bench for name in CACHES)


def test_silent_node_is_passed_over_before_its_time_outs():
    one = router()
    first = asked(one.handle(10, req("a", obj=3)))
    for i in range(9):
        act = asked(one.handle(6000 + i, req("n%d" % i, obj=40 + i)))
        if act.endpoint_id != first.endpoint_id:
            one.handle(6000 + i, outcome(act, "done", note=1))
    assert asked(one.handle(12000, req("z", obj=3))).endpoint_id != first.endpoint_id


def test_full_origin_is_not_asked_again_at_once():
    one = router(names=(*CACHES, "o"))
    act = asked(one.handle(10, req("a", obj=3)))
    assert act.source_id == "o"
    for other in one.handle(300, outcome(act, "full", took=250, note=6)):
        assert getattr(other, "source_id", None) != "o" and getattr(other, "endpoint_id", None) != "o"


def test_left_clients_dispatch_weighs_until_its_outcome():
    one = router()
    act = asked(one.handle(10, req("a")))
    (off,) = one.handle(20, interface.ClientDisconnected("a"))
    assert off == interface.CancelAttempt("a", 0) and "a" in one.nodes[act.endpoint_id].out
    assert one.handle(30, outcome(act, "cancelled", closed=True)) == [] and not one.nodes[act.endpoint_id].out


def test_late_notice_of_an_older_purge_loosens_nothing():
    one = router()
    one.handle(100000, interface.PurgeNotified(1, 0, 10))
    one.handle(100010, interface.PurgeNotified(1, 0, 5000))
    assert 0 < asked(one.handle(100500, req("a"))).max_copy_age <= 510


def test_unknown_purge_of_the_past_holds_on_a_young_clock():
    one = router()
    one.handle(10, interface.PurgeNotified(1, 0, 2000))
    assert 0 < asked(one.handle(20, req("a"))).max_copy_age <= 2010


def test_newcomer_without_a_start_time_is_cold():
    one = router()
    one.handle(1000, interface.EndpointsUpdated(False, (row("c9"),)))
    assert one.is_cold(one.nodes["c9"])


def test_denied_clients_come_back_before_their_target():
    one = router(names=())
    (act,) = one.handle(5, req("a", size=500.0))
    assert act.retry_after <= 4000 + 0.6 * 1000


def test_half_failing_parent_is_kept():
    one, now = router(deployment(fill_note_level="hit")), 0
    for i in range(60):
        now += 100
        act, number = asked(one.handle(now, req("a%d" % i, obj=i))), 0
        if act.source_id == "p0" and i % 2:
            act, number = asked(one.handle(now + 80, outcome(act, "error", took=80))), 1
        one.handle(now + 90, outcome(act, "done", number, note=2))
    assert not one.nodes["p0"].bench


def test_repeat_has_part_of_its_target_left():
    one = router()
    one.handle(10, req("a"))
    one.handle(10, req("b")._replace(is_client_retry=True))
    assert one.reqs["b"].target_at < one.reqs["a"].target_at


def test_crowded_cache_keeps_room_for_those_that_follow():
    one = router()
    one.handle(10, req("s", size=1300.0))
    for way in (one.nodes["c0"], one.inlet):  # both seen to take three times the sending time
        way.took, way.work, way.crowd, way.pace_at = 24000.0, 8000.0, 8000.0, 10
        way.out.clear()
    assert one.in_time(one.reqs["s"], one.inlet) and not one.in_time(one.reqs["s"], one.nodes["c0"])


def test_source_waited_for_in_vain_is_benched():
    one, now = router(deployment(fill_note_level="hit")), 0
    for i in range(40):
        now += 6000
        act, number = asked(one.handle(now, req("a%d" % i, obj=i))), 0
        if act.source_id == "p0":
            act, number = asked(one.handle(now + 5000, outcome(act, "full", took=5000))), 1
        one.handle(now + 5500, outcome(act, "done", number, note=2))
    assert one.nodes["p0"].bench and not any(one.nodes[name].bench for name in CACHES)


def test_silent_node_counts_as_just_started_until_it_does_what_it_held():
    one = router()
    held = asked(one.handle(10, req("a", obj=3)))
    one.handle(12000, req("z", obj=3))
    node = one.nodes[held.endpoint_id]
    assert one.is_cold(node)
    one.handle(12500, outcome(held, "done", took=12490))
    assert not one.is_cold(node)


def test_silent_caches_cast_no_suspicion_on_their_source():
    one = router(names=("c0", "p0", "o"))
    asked(one.handle(10, req("a")))
    one.handle(12000, req("b", obj=2))
    assert one.is_cold(one.nodes["c0"]) and not one.is_cold(one.nodes["p0"])


def test_many_routers_together_keep_a_cold_budget_and_use_it():
    """Each sees far less than a req in the time that the rule counts by."""
    count, now, sent = 40, 200000, []
    facts = deployment(router_count=count, local_router_count=count, weight_kind="nominal")
    many = [router(facts, ("c0",)) for _ in range(count)]
    for place, one in enumerate(many):
        one.chance.state += place * 0x9E3779B97F4A7C15
        one.handle(now, interface.EndpointsUpdated(False, (row("c0", started=now),)))
    for i in range(4000):
        now += 20
        for act in many[i * 7 % count].handle(now, req("a%d" % i, obj=i, size=500.0)):
            if type(act) in (interface.SendAttempt, interface.SendAttemptWithFill):
                sent.append(now)
                many[i * 7 % count].handle(now + 10, outcome(act, "done", note=1))
    start, rule = (
        200000,
        facts.overload_multiple * 20.0 * facts.overload_window / 1000,
    )  # in reqs, but for the share
    for at in range(start + facts.overload_window, now, 5000):
        share = (
            facts.slow_start_min_share
            + (1 - facts.slow_start_min_share)
            * (at - facts.overload_window - start)
            / facts.slow_start_duration
        )
        count_here = sum(at - facts.overload_window < when <= at for when in sent)
        assert 0.1 * share * rule <= count_here <= share * rule


def test_many_routers_remember_paces_for_longer():
    assert router(deployment(local_router_count=16)).memory > 2 * router().memory


def test_first_sightings_rank_lowest():
    one = router(names=("c0", "p0", "o"))
    ranks = [asked(one.handle(10 + i, req("a%d" % i))).admission_rank for i in range(3)]
    assert ranks == [1, 3, 3]


def test_parents_are_asked_only_for_what_they_hold_after_two_said_full():
    one = router(deployment(fill_note_level="hit", direct_to_source=False))
    act = asked(one.handle(10, req("a")))
    act = asked(one.handle(1000, outcome(act, "full", took=990)))
    assert not act.source_cached_only
    one.handle(1900, outcome(act, "full", 1, took=900))
    act = asked(one.handle(3300, req("b", obj=1)._replace(part=1)))
    assert act.source_cached_only and act.source_id in ("p0", "p1")
    act = one.handle(3310, outcome(act, "miss"))[0]
    assert (
        type(act) is interface.SendAttempt or type(act) is interface.RejectRequest
    )  # no other parent is asked


def test_a_silent_node_is_not_held_for_cold_for_long_when_the_list_tells_nothing():
    one = router()
    held = asked(one.handle(10, req("a", obj=3)))
    one.handle(12000, req("z", obj=3))
    one.now = 12000 + one.deployment.slow_start_duration // 2
    assert not one.is_cold(one.nodes[held.endpoint_id])


def test_a_parent_is_asked_for_as_much_as_it_can_send():
    """Guards against small fleets with large parents: a fixed bound sent most fills to the origin, and our
    part of what a parent can send did so too while another parent was down."""

    def sources(weight):
        rows = [row("c0"), row("p0", weight=weight), row("o")]
        one = router(deployment(router_count=3), ())
        one.handle(0, interface.EndpointsUpdated(True, tuple(rows)))
        acts = [asked(one.handle(1 + i, req("a%d" % i, obj=i, size=1.0))) for i in range(60)]
        return [act.source_id for act in acts]

    assert sources(60.0) == ["p0"] * 60
    assert sources(20.0) == ["p0"] * 24 + ["o"] * 36


def test_more_dispatches_out_are_no_crowd_where_as_many_went_at_ease():
    """Guards against denials while nothing is full and what is out swings (the incident r75352c)."""
    one, now = router(names=(*CACHES, "p0", "o")), 10
    acts = [asked(one.handle(now + i, req("a%d" % i, obj=i, size=2000, left=60000))) for i in range(12)]
    now += 4400
    for act in reversed(acts):
        now += 1
        one.handle(now, outcome(act, "done", took=4400, note=2))
    acts = [one.handle(now + i, req("b%d" % i, obj=50 + i, size=2000, left=60000)) for i in range(18)]
    assert all(asked(each).source_id == "p0" for each in acts)


def test_objects_that_no_node_can_use_condemn_no_node():
    """Guards against clients that ask for what does not exist: every node fails it alike."""
    one, now = router(), 0
    for i in range(60):
        now += 100
        acts, number = one.handle(now, req("a%d" % i, obj=i)), 0
        while type(acts[0]) in (interface.SendAttempt, interface.SendAttemptWithFill):
            ends = i % 2 == 0  # every other req is one that nobody can use
            act = acts[0]
            acts = one.handle(now + 5, outcome(act, "done" if ends else "error", number, took=5, note=1))
            number += 1
            if ends:
                break
    assert not any(node.bench for node in one.nodes.values())


def test_a_req_lost_to_a_fault_leaves_nothing_behind():
    one = router()
    asked(one.handle(10, req("a")))
    one.client_left = None
    with pytest.raises(TypeError):
        one.handle(20, interface.ClientDisconnected("a"))
    assert not one.reqs and not one.inlet.out and not any(node.out for node in one.nodes.values())


def test_fills_that_time_out_do_not_make_their_cache_slow():
    """Guards the hits of caches while the origin stands still and all fills hang."""
    one = router()
    act = asked(one.handle(10, req("a", size=2000)))
    cache, source = one.nodes[act.endpoint_id], one.nodes[act.source_id]
    cache.bad = 0.5  # it fails more than the source, and is held to have failed here too
    one.handle(20010, outcome(act, "timeout", took=20000))
    paces = [each.pace(20010, one.memory, one.prior) for each in (cache, source)]
    assert paces[0] == 1.0 < paces[1]


def test_a_request_looks_at_few_caches_however_many_there_are(monkeypatch):
    """Guards the CPU of large fleets: those that owe an answer or may be cold, and the first that fit."""
    one = router(deployment(weight_kind="nominal"), [*(f"c{2 * i}" for i in range(2000)), "p0", "p1", "o"])
    looked, plain = [], Router.fit
    monkeypatch.setattr(Router, "fit", lambda self, req, node: looked.append(node) or plain(self, req, node))
    acts = [one.handle(1000 + i, req(f"r{i}", obj=i)) for i in range(20)]
    assert all(len(each) == 1 for each in acts)
    assert len(looked) < 20 * 25


def test_a_node_that_is_not_asked_for_turns_cold_and_warm_all_the_same():
    """What changes by being looked at is looked at with each request, wherever it stands in the order."""
    one = router(names=(*CACHES, "p0", "o"))
    one.handle(1000, interface.EndpointsUpdated(False, (row("c2", started=1000),)))
    node = one.nodes["c2"]
    one.handle(1001, req("a"))
    assert node.room is not None and node in one.may_be_cold
    one.handle(1000 + one.deployment.slow_start_duration + 1, req("b"))
    assert node.room is None and node not in one.may_be_cold


def order_of(one, obj):
    """An object's hash order, by name, and as it would be worked out anew."""
    some = Req(req("x", obj=obj), one.vhosts[0], 0, 1)
    anew = sorted(one.caches, key=lambda node: score(some.salt, node.salt), reverse=True)
    return [node.id for node in one.hash_order(some)], [node.id for node in anew]


def test_what_is_remembered_of_an_order_stays_true_while_caches_come_and_go():
    """Caches join, drain, come back and go for good, one at a time and many at once."""
    one, chance, ready = router(names=("c0", "p0", "o")), Random(4), set()
    for step in range(400):
        for _ in range(chance.choice([1, 1, 1, 90])):
            name = f"c{2 * chance.randrange(150)}"
            state = chance.choice(["ready", "ready", "draining", "gone"])
            one.handle(step, interface.EndpointsUpdated(False, (row(name, state),)))
            ready = ready - {name} if state != "ready" else ready | {name}
        kept, anew = order_of(one, chance.randrange(6))
        assert kept == anew and ready <= set(kept)
    assert len(one.added) <= 512 and one.cache_salts == [node.salt for node in one.caches]


def test_a_change_of_one_node_costs_one(monkeypatch):
    """Guards the CPU of large fleets while many nodes are replaced."""
    one = router(deployment(weight_kind="nominal"), [*(f"c{2 * i}" for i in range(2000)), "p0", "p1", "o"])
    placed, plain = [], Router.place
    monkeypatch.setattr(Router, "place", lambda self, node: placed.append(node) or plain(self, node))
    one.handle(10, interface.EndpointsUpdated(False, (row("c4", "draining"),)))
    assert [node.id for node in placed] == ["c4"]


@pytest.mark.parametrize("count", [0, 1, 9, 500])
def test_many_hashes_at_once_are_the_same_as_one_by_one(count):
    chance = Random(count)
    salts = [chance.getrandbits(64) for _ in range(count)] + [0, 2**64 - 1][:count]
    for number in (0, 2**64 - 1, chance.getrandbits(64)):
        assert RendezvousHasher(salts).scores(number) == [score(number, salt) for salt in salts]
