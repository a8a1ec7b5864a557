"""Serves callers over the MySQL protocol."""
