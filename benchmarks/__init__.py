"""Measurements that are too long for CI; each prints one JSON object as its last line."""
