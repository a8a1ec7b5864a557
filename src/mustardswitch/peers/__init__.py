"""Communication between instances: clients, servers and codecs of the peer protocols."""
