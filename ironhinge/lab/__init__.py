"""A laboratory on loopback: stand-ins for all that a director talks to, load, and faults.

It starts directors as programs of their own, speaks the platform's protocol to them, and counts the bytes
that cross. It must never be imported by a director, decide anything for one, or reach beyond this machine.
"""
