"""Connections to backend servers, and execution of statements on their database groups."""
