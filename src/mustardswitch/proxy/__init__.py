"""Sessions, routing, connections and failover in front of databases that report positions.

Independent of protocols: callers, backend servers, the store and promotions are reached through
the interfaces in ``ports``.
"""
