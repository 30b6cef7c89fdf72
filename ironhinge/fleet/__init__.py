"""Owns what many instances are to run: each agent's desired state by generation, its journal, what its
directors do about it, and how a change goes through the fleet in waves.

It must never touch a req, and never hold two generations in force at one agent. All here is pure so far:
events in, actions out; the agent's processes and its listener come next (docs/ROADMAP.md).
"""
