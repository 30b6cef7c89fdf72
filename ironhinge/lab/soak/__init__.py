"""Soak tests: real directors under seeded faults, audited from what clients and fake servers recorded."""
