"""Decisions without sockets, clocks or random sources of their own."""
