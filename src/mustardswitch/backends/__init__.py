"""The edge towards backend servers and their database groups."""
