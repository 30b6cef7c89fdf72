"""Hosts router instances for the simulator: a codec and a host; nothing is decided here."""
