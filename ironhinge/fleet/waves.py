"""The members of a rollout and the waves in which they are changed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .desired_state import DirectorSpec

CANARY_SIZE = 1  # members in the first wave
WAVE_GROWTH = 2  # a wave has at most this many times the members of all waves before it
DEFAULT_MAX_UNAVAILABLE = 1  # members of a branch


class Member(NamedTuple):
    """An agent that a rollout changes.

    Attributes:
        name: The agent.
        branch: The site that it serves.
        generation: The generation in force there when the rollout was planned.
        previous_spec: What it runs before the rollout.
        new_spec: What it is to run after it.
    """

    name: str
    branch: str
    generation: int
    previous_spec: DirectorSpec
    new_spec: DirectorSpec


def plan_waves(members: Iterable[Member], max_unavailable: Mapping[str, int]) -> list[list[str]]:
    """Divides members into a canary wave and growing waves after it.

    Branches alternate, so that a wave is not of one branch where that can be avoided.

    Args:
        members: All members of the rollout.
        max_unavailable: How many members of a branch a wave may hold, by branch;
            `DEFAULT_MAX_UNAVAILABLE` for a branch that is missing.

    Returns:
        The names of the members of each wave.
    """
    remaining: dict[str, list[str]] = {}
    for member in sorted(members):
        remaining.setdefault(member.branch, []).append(member.name)
    branch_limits = {
        branch: max(1, max_unavailable.get(branch, DEFAULT_MAX_UNAVAILABLE)) for branch in remaining
    }
    waves: list[list[str]] = []
    planned = 0
    while any(remaining.values()):
        size_limit = WAVE_GROWTH * planned if waves else CANARY_SIZE
        wave = _next_wave(remaining, branch_limits, size_limit)
        waves.append(wave)
        planned += len(wave)
    return waves


def _next_wave(
    remaining: dict[str, list[str]], branch_limits: Mapping[str, int], size_limit: int
) -> list[str]:
    """Takes the members of one wave out of `remaining`, one of each branch at a time."""
    wave: list[str] = []
    branch_counts = dict.fromkeys(remaining, 0)
    progressed = True
    while progressed and len(wave) < size_limit:
        progressed = False
        for branch, names in sorted(remaining.items()):
            if names and branch_counts[branch] < branch_limits[branch] and len(wave) < size_limit:
                wave.append(names.pop(0))
                branch_counts[branch] += 1
                progressed = True
    return wave
