"""Decisions on where reads and forwarded statements run."""
