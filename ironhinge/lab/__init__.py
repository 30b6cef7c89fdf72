"""A test lab on loopback: stand-ins for everything that a director connects to, generated load, and faults.

It starts real directors as separate processes, speaks the platform's protocols to them, and counts the bytes
that enter the branch zone. A director must not import this package. The lab must not make routing decisions
for a director or use the network beyond loopback.
"""
