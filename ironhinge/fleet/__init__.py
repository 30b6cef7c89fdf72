"""The desired state of a fleet of directors, and the rollout of a change to it.

An agent supervises a group of directors. The package contains each agent's desired state by generation
(`desired_state`), the stored form of its journal (`journal`), the supervision of its directors (`supervisor`)
and the rollout of a change to a fleet in waves (`waves`, `rollout`).

The package must never handle requests, and an agent must never have two active generations. All modules are
free of I/O; the state machines take events and return actions. The process that runs an agent and its
listener do not exist yet (docs/ROADMAP.md).
"""
