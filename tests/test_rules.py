"""Checks the router's commands on random events against a simple, slow computation of the rules."""

import pytest

from .helpers import new_deployment, run_random_events


@pytest.mark.parametrize("seed", range(40))
def test_commands_follow_the_rules_on_random_events(seed):
    overrides = [
        {},
        {"direct_to_source": False},
        {"cache_status_level": "hit", "coalesces_fills": False},
        {"max_attempts": 2, "transfer_rate": 900.0},
    ][seed % 4]
    assert len(run_random_events(seed, new_deployment(**overrides)).requests) == 400
