"""Edits of the document and status queries, for the operators' command line."""
