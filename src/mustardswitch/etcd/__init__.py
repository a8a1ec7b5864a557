"""The client of the platform's key-value store (etcd v3 interface) and the records kept there."""
