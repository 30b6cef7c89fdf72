"""A soak: real directors under seeded faults, judged from the records of clients and servers alone."""
