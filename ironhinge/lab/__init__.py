"""Owns our stand-ins for all that a director talks to, and the load and faults of experiments, on loopback.

It must never be imported by a director, decide anything for one, or reach beyond this machine: it starts
directors as programs of their own, speaks the platform's protocol to them, and counts what it really carried.
"""
