"""The parts of an entry instance between its callers, its peers and the backend servers."""
