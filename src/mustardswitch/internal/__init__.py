"""Decision logic that opens no sockets and takes the time and random sources as arguments."""
