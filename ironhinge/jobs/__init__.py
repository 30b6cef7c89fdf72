"""Background jobs, run in slices within budgets for disk and CPU.

`scheduler` selects the job whose next slice runs and does no I/O, `messages` defines its events and commands,
and `runner` executes the commands. The package must never handle requests, nor run a slice on the event loop.
"""
