"""Owns background work: which job has its turn, and within which budgets of disk and CPU.

It must never touch a req, nor run a job's slice on the event loop. `plan` decides and does no I/O; `runner`
does what it says.
"""
