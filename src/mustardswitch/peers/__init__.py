"""Communication between instances: clients, servers and codecs of the peer protocols.

Entry instances use gRPC (``client``, ``codec`` and ``server``). Instances on the users' platform
use datagrams (``datagrams``) and frames of JSON (``relay_client``, ``relay_codec`` and
``relay_server``).
"""
