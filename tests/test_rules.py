"""The router against a slow plain model of the rules, on generated events."""

import pytest

from .helpers import new_deployment, run_random_events


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_on_generated_events(seed):
    other = [
        {},
        {"direct_to_source": False},
        {"cache_status_level": "hit", "coalesces_fills": False},
        {"max_attempts": 2, "transfer_rate": 900.0},
    ][seed % 4]
    assert len(run_random_events(seed, new_deployment(**other)).requests) == 400
