"""Connections of clients that the project does not control: their bytes, and their limits."""
