"""The module against the slow plain model of the rules, on generated happenings."""

import pytest

from .helpers import deployment, play


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_on_generated_happenings(seed):
    other = [{}, {"bypass": False}, {"notes": "hit", "joins": False}, {"max_dispatches": 2, "pace": 900.0}][
        seed % 4
    ]
    assert len(play(seed, deployment(**other)).came) == 400
