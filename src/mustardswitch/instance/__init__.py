"""The tasks inside an entry instance that stand between its edges."""
