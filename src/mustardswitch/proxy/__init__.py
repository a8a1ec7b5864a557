"""Sessions, routing, connections and failover in front of databases that report positions.

Knows no protocol: callers, backend servers, the store and promotions come in through ports.
"""
