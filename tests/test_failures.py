"""Regression tests of the router: one small test for each failure that was found."""

from random import Random

import pytest

from ironhinge import interface
from ironhinge.routing.eligibility import Eligibility
from ironhinge.routing.hashing import RendezvousHasher, score
from ironhinge.routing.request_state import RequestState
from ironhinge.routing.retries import MAX_REPEAT_DELAY
from ironhinge.routing.upstream_registry import UpstreamRegistry

from .helpers import CACHES, attempt_finished, new_deployment, new_endpoint, new_router, request_received


def sent_command(commands):
    """Returns the only command, which must send an attempt."""
    (command,) = commands
    assert type(command) in (interface.SendAttempt, interface.SendAttemptWithFill), command
    return command


def test_congested_ingress_link_allows_only_attempts_without_fill():
    router = new_router()
    commands = [
        sent_command(
            router.handle(10 + i, request_received(f"b{i}", object_id=i, size=2000, time_remaining=60000))
        )
        for i in range(20)
    ]
    for command in commands[:10]:
        router.handle(25000, attempt_finished(command, "done", duration=25000, cache_status=2))
    # ten requests are still in flight, and the ten that finished took six times their transfer time
    for i in range(8):
        for command in router.handle(25001 + i, request_received(f"x{i}", object_id=500 + i, size=2000)):
            assert (
                type(command) is interface.RejectRequest
                or getattr(command, "source_id", command.endpoint_id) == command.endpoint_id
            )


def test_requests_are_rejected_at_once_while_no_endpoint_exists():
    router = new_router(endpoint_ids=())
    (command,) = router.handle(5, request_received("a"))
    assert type(command) is interface.RejectRequest
    assert command.retry_after <= 10000


def test_failing_parent_does_not_get_caches_ejected():
    router, now = new_router(new_deployment(cache_status_level="hit")), 0
    for i in range(60):
        now += 100
        command = sent_command(router.handle(now, request_received(f"a{i}", object_id=i)))
        if getattr(command, "source_id", "") == "p0":
            retry = sent_command(router.handle(now + 80, attempt_finished(command, "error", duration=80)))
            router.handle(now + 90, attempt_finished(retry, "done", 1, cache_status=2))
        else:
            router.handle(now + 90, attempt_finished(command, "done", cache_status=1 if i % 2 else 2))
    assert router.upstreams.by_id["p0"].ejection_length
    assert not any(router.upstreams.by_id[name].ejection_length for name in CACHES)


def test_resets_by_all_upstreams_eject_no_cache():
    router, now = new_router(), 0
    for i in range(120):
        now += 100
        command = sent_command(router.handle(now, request_received(f"a{i}", object_id=i)))
        number = 0
        while i % 3 == 0 and number < 2:
            command, number = (
                sent_command(router.handle(now + 10, attempt_finished(command, "reset", number))),
                number + 1,
            )
        router.handle(now + 50, attempt_finished(command, "done", number, cache_status=1))
    assert not any(router.upstreams.by_id[name].ejection_length for name in CACHES)


def test_unresponsive_upstream_is_avoided_before_its_attempt_times_out():
    router = new_router()
    first = sent_command(router.handle(10, request_received("a", object_id=3)))
    for i in range(9):
        command = sent_command(router.handle(6000 + i, request_received(f"n{i}", object_id=40 + i)))
        if command.endpoint_id != first.endpoint_id:
            router.handle(6000 + i, attempt_finished(command, "done", cache_status=1))
    assert (
        sent_command(router.handle(12000, request_received("z", object_id=3))).endpoint_id
        != first.endpoint_id
    )


def test_origin_that_rejected_is_not_used_again_at_once():
    router = new_router(endpoint_ids=(*CACHES, "o"))
    command = sent_command(router.handle(10, request_received("a", object_id=3)))
    assert command.source_id == "o"
    for other in router.handle(300, attempt_finished(command, "full", duration=250, cache_status=6)):
        assert getattr(other, "source_id", None) != "o"
        assert getattr(other, "endpoint_id", None) != "o"


def test_attempt_of_a_disconnected_client_is_in_flight_until_its_result():
    router = new_router()
    command = sent_command(router.handle(10, request_received("a")))
    (cancel,) = router.handle(20, interface.ClientDisconnected("a"))
    upstream = router.upstreams.by_id[command.endpoint_id]
    assert cancel == interface.CancelAttempt("a", 0)
    assert "a" in upstream.in_flight
    assert router.handle(30, attempt_finished(command, "cancelled", request_closed=True)) == []
    assert not upstream.in_flight


def test_late_notice_of_an_older_purge_does_not_raise_the_maximum_copy_age():
    router = new_router()
    router.handle(100000, interface.PurgeNotified(1, 0, 10))
    router.handle(100010, interface.PurgeNotified(1, 0, 5000))
    assert 0 < sent_command(router.handle(100500, request_received("a"))).max_copy_age <= 510


def test_purge_from_before_the_router_started_limits_the_copy_age():
    router = new_router()
    router.handle(10, interface.PurgeNotified(1, 0, 2000))
    assert 0 < sent_command(router.handle(20, request_received("a"))).max_copy_age <= 2010


def test_added_endpoint_without_a_start_time_is_warming_up():
    router = new_router()
    router.handle(1000, interface.EndpointsUpdated(False, (new_endpoint("c9"),)))
    assert router.slow_start.is_warming_up(1000, router.upstreams.by_id["c9"])


def test_retry_after_does_not_exceed_the_latency_target():
    router = new_router(endpoint_ids=())
    (command,) = router.handle(5, request_received("a", size=500.0))
    assert command.retry_after <= 4000 + 0.6 * 1000


def test_parent_that_fails_half_of_its_fills_is_not_ejected():
    router, now = new_router(new_deployment(cache_status_level="hit")), 0
    for i in range(60):
        now += 100
        command, number = sent_command(router.handle(now, request_received(f"a{i}", object_id=i))), 0
        if command.source_id == "p0" and i % 2:
            command, number = (
                sent_command(router.handle(now + 80, attempt_finished(command, "error", duration=80))),
                1,
            )
        router.handle(now + 90, attempt_finished(command, "done", number, cache_status=2))
    assert not router.upstreams.by_id["p0"].ejection_length


def test_client_retry_gets_an_earlier_latency_target():
    router = new_router()
    router.handle(10, request_received("a"))
    router.handle(10, request_received("b")._replace(is_client_retry=True))
    assert router.requests["b"].target_at < router.requests["a"].target_at


def test_predicted_transfer_time_at_a_cache_allows_for_requests_that_follow():
    router = new_router()
    router.handle(10, request_received("s", size=1300.0))
    request, now = router.requests["s"], 10
    cache, ingress_link = router.upstreams.by_id["c0"], router.upstreams.ingress_link
    for path in (cache, ingress_link):  # transfers on both took three times their expected time
        estimate = path.congestion
        estimate.observed_time, estimate.expected_time = 24000.0, 8000.0
        estimate.weighted_in_flight, estimate.updated_at = 8000.0, now
        path.in_flight.clear()
    assert router.congestion.meets_target(now, request, ingress_link)
    assert not router.congestion.meets_target(now, request, cache)


def test_source_that_rejects_after_the_latency_target_is_ejected():
    router, now = new_router(new_deployment(cache_status_level="hit")), 0
    for i in range(40):
        now += 6000
        command, number = sent_command(router.handle(now, request_received(f"a{i}", object_id=i))), 0
        if command.source_id == "p0":
            command, number = (
                sent_command(router.handle(now + 5000, attempt_finished(command, "full", duration=5000))),
                1,
            )
        router.handle(now + 5500, attempt_finished(command, "done", number, cache_status=2))
    assert router.upstreams.by_id["p0"].ejection_length
    assert not any(router.upstreams.by_id[name].ejection_length for name in CACHES)


def test_unresponsive_upstream_counts_as_warming_up_until_it_answers():
    router = new_router()
    unanswered = sent_command(router.handle(10, request_received("a", object_id=3)))
    router.handle(12000, request_received("z", object_id=3))
    upstream = router.upstreams.by_id[unanswered.endpoint_id]
    assert router.slow_start.is_warming_up(12000, upstream)
    router.handle(12500, attempt_finished(unanswered, "done", duration=12490))
    assert not router.slow_start.is_warming_up(12500, upstream)


def test_unresponsive_cache_does_not_make_its_source_unresponsive():
    router = new_router(endpoint_ids=("c0", "p0", "o"))
    sent_command(router.handle(10, request_received("a")))
    router.handle(12000, request_received("b", object_id=2))
    assert router.slow_start.is_warming_up(12000, router.upstreams.by_id["c0"])
    assert not router.slow_start.is_warming_up(12000, router.upstreams.by_id["p0"])


def test_many_routers_together_use_and_respect_the_slow_start_limit():
    """At the start, each of the 40 routers may send only 4 requests per overload window."""
    count, now, sent_at = 40, 200000, []
    config = new_deployment(router_count=count, local_router_count=count, weight_kind="nominal")
    routers = [new_router(config, ("c0",)) for _ in range(count)]
    for index, router in enumerate(routers):
        router.random.state += index * 0x9E3779B97F4A7C15
        router.handle(now, interface.EndpointsUpdated(False, (new_endpoint("c0", started_at=now),)))
    for i in range(4000):
        now += 20
        for command in routers[i * 7 % count].handle(now, request_received(f"a{i}", object_id=i, size=500.0)):
            if type(command) in (interface.SendAttempt, interface.SendAttemptWithFill):
                sent_at.append(now)
                routers[i * 7 % count].handle(now + 10, attempt_finished(command, "done", cache_status=1))
    start = 200000
    # requests per overload window at full capacity; `share` is what the cache has reached of it
    limit = config.overload_multiple * 20.0 * config.overload_window / 1000
    for window_end in range(start + config.overload_window, now, 5000):
        share = (
            config.slow_start_min_share
            + (1 - config.slow_start_min_share)
            * (window_end - config.overload_window - start)
            / config.slow_start_duration
        )
        sent_in_window = sum(window_end - config.overload_window < when <= window_end for when in sent_at)
        assert 0.1 * share * limit <= sent_in_window <= share * limit


def test_congestion_half_life_is_longer_with_many_routers():
    many, few = new_router(new_deployment(local_router_count=16)), new_router()
    assert many.congestion.half_life > 2 * few.congestion.half_life


def test_first_request_for_an_object_gets_the_lowest_admission_rank():
    router = new_router(endpoint_ids=("c0", "p0", "o"))
    ranks = [sent_command(router.handle(10 + i, request_received(f"a{i}"))).admission_rank for i in range(3)]
    assert ranks == [1, 3, 3]


def test_parents_are_asked_only_for_cached_copies_after_two_rejections():
    router = new_router(new_deployment(cache_status_level="hit", direct_to_source=False))
    command = sent_command(router.handle(10, request_received("a")))
    command = sent_command(router.handle(1000, attempt_finished(command, "full", duration=990)))
    assert not command.source_cached_only
    router.handle(1900, attempt_finished(command, "full", 1, duration=900))
    command = sent_command(router.handle(3300, request_received("b", object_id=1)._replace(part=1)))
    assert command.source_cached_only
    assert command.source_id in ("p0", "p1")
    command = router.handle(3310, attempt_finished(command, "miss"))[0]
    # no other parent is used
    assert type(command) is interface.SendAttempt or type(command) is interface.RejectRequest


def test_unresponsive_upstream_counts_as_warming_up_only_briefly():
    router = new_router()
    unanswered = sent_command(router.handle(10, request_received("a", object_id=3)))
    router.handle(12000, request_received("z", object_id=3))
    later = 12000 + router.deployment.slow_start_duration // 2
    assert not router.slow_start.is_warming_up(later, router.upstreams.by_id[unanswered.endpoint_id])


def test_a_parent_is_sent_as_many_fills_as_it_can_serve():
    """Guards small deployments with large parents.

    With a fixed limit on the fills in flight per parent, most fills went to the origin. A limit of this
    router's share of the parent's capacity had the same effect while another parent was down.
    """

    def sources(weight):
        endpoints = [new_endpoint("c0"), new_endpoint("p0", weight=weight), new_endpoint("o")]
        router = new_router(new_deployment(router_count=3), ())
        router.handle(0, interface.EndpointsUpdated(True, tuple(endpoints)))
        commands = [
            sent_command(router.handle(1 + i, request_received(f"a{i}", object_id=i, size=1.0)))
            for i in range(60)
        ]
        return [command.source_id for command in commands]

    assert sources(60.0) == ["p0"] * 60
    assert sources(20.0) == ["p0"] * 24 + ["o"] * 36


def test_more_attempts_in_flight_are_not_taken_for_congestion():
    """Guards against rejections while no path is congested and the number in flight varies.

    This was seen in the incident r75352c.
    """
    router, now = new_router(endpoint_ids=(*CACHES, "p0", "o")), 10
    commands = [
        sent_command(
            router.handle(now + i, request_received(f"a{i}", object_id=i, size=2000, time_remaining=60000))
        )
        for i in range(12)
    ]
    now += 4400
    for command in reversed(commands):
        now += 1
        router.handle(now, attempt_finished(command, "done", duration=4400, cache_status=2))
    commands = [
        router.handle(now + i, request_received(f"b{i}", object_id=50 + i, size=2000, time_remaining=60000))
        for i in range(18)
    ]
    assert all(sent_command(each).source_id == "p0" for each in commands)


def test_requests_that_fail_on_every_upstream_eject_none():
    """Guards against ejections while clients request objects that do not exist, which all upstreams fail."""
    router, now = new_router(), 0
    for i in range(60):
        now += 100
        commands, number = router.handle(now, request_received(f"a{i}", object_id=i)), 0
        while type(commands[0]) in (interface.SendAttempt, interface.SendAttemptWithFill):
            object_exists = i % 2 == 0  # every other request is for an object that does not exist
            command = commands[0]
            commands = router.handle(
                now + 5,
                attempt_finished(
                    command, "done" if object_exists else "error", number, duration=5, cache_status=1
                ),
            )
            number += 1
            if object_exists:
                break
    assert not any(each.ejection_length for each in router.upstreams.by_id.values())


def test_a_request_whose_event_raises_an_error_is_removed(monkeypatch):
    router = new_router()
    sent_command(router.handle(10, request_received("a")))
    monkeypatch.setattr("ironhinge.routing.router.CancelAttempt", None)  # calling it raises TypeError
    with pytest.raises(TypeError):
        router.handle(20, interface.ClientDisconnected("a"))
    assert not router.requests
    assert not router.upstreams.ingress_link.in_flight
    assert not any(each.in_flight for each in router.upstreams.by_id.values())


def test_fill_timeouts_do_not_count_as_congestion_of_the_cache():
    """Guards cache hits while the origin does not respond and all fills time out."""
    router = new_router()
    command = sent_command(router.handle(10, request_received("a", size=2000)))
    cache, source = router.upstreams.by_id[command.endpoint_id], router.upstreams.by_id[command.source_id]
    cache.failure_rate = 0.5  # higher than the source's, so that the timeout is attributed to the cache
    router.handle(20010, attempt_finished(command, "timeout", duration=20000))
    slowdowns = [
        each.congestion.slowdown(
            20010, len(each.in_flight) + 1, router.congestion.half_life, router.congestion.prior
        )
        for each in (cache, source)
    ]
    assert slowdowns[0] == 1.0 < slowdowns[1]


def test_a_request_checks_few_of_many_caches(monkeypatch):
    """Guards the CPU time per request in large deployments.

    Only caches with an attempt in flight, caches that may be warming up, and the first few candidates are
    checked.
    """
    router = new_router(
        new_deployment(weight_kind="nominal"), [*(f"c{2 * i}" for i in range(2000)), "p0", "p1", "o"]
    )
    checked, original = [], Eligibility.is_eligible

    def recording(self, now, request, upstream):
        checked.append(upstream)
        return original(self, now, request, upstream)

    monkeypatch.setattr(Eligibility, "is_eligible", recording)
    commands = [router.handle(1000 + i, request_received(f"r{i}", object_id=i)) for i in range(20)]
    assert all(len(each) == 1 for each in commands)
    assert 0 < len(checked) < 20 * 25


def test_a_cache_without_requests_enters_and_leaves_slow_start():
    """A request checks each cache that may be warming up, wherever it is in the candidate order.

    The check creates its token bucket, and ends its slow start when that is due.
    """
    router = new_router(endpoint_ids=(*CACHES, "p0", "o"))
    router.handle(1000, interface.EndpointsUpdated(False, (new_endpoint("c2", started_at=1000),)))
    cache = router.upstreams.by_id["c2"]
    router.handle(1001, request_received("a"))
    assert cache.tokens is not None
    assert cache in router.upstreams.maybe_warming
    router.handle(1000 + router.deployment.slow_start_duration + 1, request_received("b"))
    assert cache.tokens is None
    assert cache not in router.upstreams.maybe_warming


def remembered_and_computed_order(router, obj):
    """Returns the ids of an object's candidate caches in the router's order and in a newly computed order."""
    candidates = router.upstreams.candidates
    key = RequestState(request_received("x", object_id=obj), router.request_classes[0], 0, 1).hash_key
    computed = sorted(candidates.caches, key=lambda cache: score(key, cache.hash_key), reverse=True)
    return [cache.id for cache in candidates.in_order(key)], [cache.id for cache in computed]


def test_remembered_orders_stay_correct_while_caches_are_added_and_removed():
    """Caches are added, drained, made ready again and removed, one at a time and many at once."""
    router, random, ready = new_router(endpoint_ids=("c0", "p0", "o")), Random(4), set()
    for step in range(400):
        for _ in range(random.choice([1, 1, 1, 90])):
            name = f"c{2 * random.randrange(150)}"
            state = random.choice(["ready", "ready", "draining", "gone"])
            router.handle(step, interface.EndpointsUpdated(False, (new_endpoint(name, state),)))
            ready = ready - {name} if state != "ready" else ready | {name}
        remembered, computed = remembered_and_computed_order(router, random.randrange(6))
        assert remembered == computed
        assert ready <= set(remembered)
    candidates = router.upstreams.candidates
    assert len(candidates.added) <= 512
    assert candidates.hash_keys == [cache.hash_key for cache in candidates.caches]


def test_a_change_of_one_upstream_reclassifies_only_that_upstream(monkeypatch):
    """Guards the CPU time in large deployments while many upstreams are replaced."""
    router = new_router(
        new_deployment(weight_kind="nominal"), [*(f"c{2 * i}" for i in range(2000)), "p0", "p1", "o"]
    )
    changed, original = [], UpstreamRegistry.reclassify

    def recording(self, upstream):
        changed.append(upstream)
        original(self, upstream)

    monkeypatch.setattr(UpstreamRegistry, "reclassify", recording)
    router.handle(10, interface.EndpointsUpdated(False, (new_endpoint("c4", "draining"),)))
    assert [upstream.id for upstream in changed] == ["c4"]


@pytest.mark.parametrize("count", [0, 1, 9, 500])
def test_scores_of_many_keys_equal_their_single_scores(count):
    random = Random(count)
    keys = [random.getrandbits(64) for _ in range(count)] + [0, 2**64 - 1][:count]
    for number in (0, 2**64 - 1, random.getrandbits(64)):
        assert RendezvousHasher(keys).scores(number) == [score(number, key) for key in keys]


def test_an_endpoint_may_change_its_zone_during_an_attempt():
    """The attempt still ends properly: whether it crosses the ingress link is decided when it is sent."""
    router = new_router(endpoint_ids=("c0",))
    command = sent_command(router.handle(10, request_received("a", size=50.0)))
    assert type(command) is interface.SendAttempt
    router.handle(20, interface.EndpointsUpdated(False, (new_endpoint("c0")._replace(zone=1),)))
    router.handle(100, attempt_finished(command, "done"))
    assert not router.requests
    assert not router.upstreams.by_id["c0"].in_flight


@pytest.mark.parametrize("field", ["zone", "cell"])
def test_a_keyed_request_is_not_sent_again_to_where_its_first_endpoint_moved(field):
    """Guards against executing it twice: only upstreams in the zone or cell where it ran know its key."""
    scope = {"zone": interface.DedupScope.ZONE, "cell": interface.DedupScope.CELL}[field]
    request_class = new_deployment().request_classes[1]._replace(dedup_scope=scope)
    deployment = new_deployment(request_classes=(request_class,), direct_to_source=True)
    router = new_router(deployment, endpoint_ids=())
    old_location, new_location = {"zone": 0, "cell": 0}, {"zone": 0, "cell": 0, field: 1}
    router.handle(5, interface.EndpointsUpdated(True, (new_endpoint("c0")._replace(**old_location),)))
    first = sent_command(router.handle(10, request_received("a", size=50.0)))
    moved, other = new_endpoint("c0")._replace(**new_location), new_endpoint("c2")._replace(**new_location)
    router.handle(
        20, interface.EndpointsUpdated(False, (moved, other, new_endpoint("o")._replace(**new_location)))
    )
    (command,) = router.handle(100, attempt_finished(first, "reset"))
    assert type(command) is interface.FailRequest


@pytest.mark.parametrize(("ended_after", "is_rejected"), [(100, True), (5000, False), (8990, False)])
def test_request_is_not_rejected_so_late_that_its_repeat_would_run_twice(ended_after, is_rejected):
    """A rejection says that a repeat is harmless: a client's repeat arrived when its key was forgotten."""
    router = new_router(new_deployment(max_attempts=1))
    first = router.handle(1000, request_received("a", class_index=2))[0]
    window = router.deployment.request_classes[2].dedup_window
    (answer,) = router.handle(1000 + ended_after, attempt_finished(first, "reset"))
    assert (type(answer) is interface.RejectRequest) is is_rejected
    if is_rejected:
        assert 1000 + ended_after + answer.retry_after + MAX_REPEAT_DELAY < 1000 + window
