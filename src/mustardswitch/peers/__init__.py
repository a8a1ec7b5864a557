"""The edge between the instances of this system."""
