"""The edge towards callers, who speak the MySQL protocol."""
