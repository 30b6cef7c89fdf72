"""The members of a rollout and the waves in which they are changed."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .desired_state import DirectorSpec

CANARY_SIZE = 1  # maximum number of members in the first wave
WAVE_GROWTH = 2  # a wave has at most this many times the members of all earlier waves together
DEFAULT_MAX_UNAVAILABLE = 1  # members per branch


class Member(NamedTuple):
    """An agent that a rollout changes.

    Attributes:
        name: The agent's name.
        branch: The location that the agent serves.
        generation: The generation that was active when the rollout was planned.
        previous_spec: The directors that the agent runs before the rollout.
        new_spec: The directors that it should run after the rollout.
    """

    name: str
    branch: str
    generation: int
    previous_spec: DirectorSpec
    new_spec: DirectorSpec


def plan_waves(members: Iterable[Member], max_unavailable: Mapping[str, int]) -> list[list[str]]:
    """Divides the members into a canary wave and growing waves after it.

    Members are taken from the branches in turn, so that a wave spreads over as many branches as possible.

    Args:
        members: All members of the rollout.
        max_unavailable: Maximum number of members of a branch in one wave, by branch;
            `DEFAULT_MAX_UNAVAILABLE` for a branch without an entry. Values below 1 count as 1.

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
    """Removes the members of one wave from `remaining`, one per branch in turn, and returns their names."""
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
