"""The adapter to the users' platform: its wire format, store, entries, promotions and settings.

Nothing outside of this package knows the platform's names.
"""
