"""Guards against orders to pause that an instance never sends to the others."""

from mustardswitch.platform import instance, settings

SETTINGS = """
instance: one
zone: a
regions: {a: north}
callers: 127.0.0.1:1
health: 127.0.0.1:2
peers: 127.0.0.1:3
store: 127.0.0.1:4
promotions: 127.0.0.1:5
stop_grace_s: 6
"""


def test_an_instance_sends_orders_to_pause_servers_that_it_does_not_reach():
    config = settings.parse_settings(SETTINGS, source="s.yaml")
    built = instance.Instance(config=config)
    assert built.updates.relayed_pauses.peers is built.peers
