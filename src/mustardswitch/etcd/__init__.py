"""The client of the own interface to a key-value store (etcd v3) and what is kept there."""
