"""The operators' document: its sections, their checks and the merging of edits."""
