"""The host for the simulator: runs router instances and translates their events and commands."""
