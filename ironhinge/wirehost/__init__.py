"""Hosts instances of the decision module on the simulator's wire: a codec and a host, and no decision."""
