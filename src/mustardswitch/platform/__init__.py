"""Adapter to the users' platform: wire format, store, server entries, promotions and settings.

The platform's names are used in this package only.
"""
