"""Decisions about work for a backend server: what is admitted, its order, and its connections."""
