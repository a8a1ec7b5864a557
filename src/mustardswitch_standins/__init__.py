"""Stand-ins for the outside systems, the fault-injecting link and the load tool."""
