"""Limits the statements in flight at servers that have just started, from how they answer."""
