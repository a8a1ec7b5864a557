"""A database proxy that keeps every session's reads honest and every write single."""

__version__ = "0.1.0"
