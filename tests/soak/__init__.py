"""Soak the programs with random faults, and check what callers and servers see."""
