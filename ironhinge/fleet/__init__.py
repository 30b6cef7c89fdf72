"""What many instances are to run, and how a change of it is rolled out.

The package holds each agent's desired state by generation (`desired_state`), the bytes of its journal
(`journal`), the supervision of its directors (`supervisor`) and the rollout of a change through a fleet in
waves (`waves`, `rollout`).

It must never touch a request, and never hold two generations in force at one agent. Every module is a pure
state machine: events in, actions out. The agent's processes and its listener come next (docs/ROADMAP.md).
"""
