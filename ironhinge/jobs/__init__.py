"""Background work: which job runs its next slice, and within which budgets of disk and CPU.

`scheduler` decides and does no I/O, `messages` holds its events and commands, and `runner` carries the
commands out. The package must never touch a request, nor run a slice of a job on the event loop.
"""
