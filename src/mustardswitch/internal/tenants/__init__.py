"""Decisions about tenants: their keys, and which instances run their statements."""
