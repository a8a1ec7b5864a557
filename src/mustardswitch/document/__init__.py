"""The operators' document: its sections, checks and edits."""
