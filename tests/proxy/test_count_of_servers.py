"""Services whose number of servers is counted wrongly, when servers are replaced."""

from mustardswitch.internal import change_log, clock, ids, unlisted_servers
from mustardswitch.proxy import fleet_records, member_records
from mustardswitch_standins import database_group
from tests.common import proxy_world, takeovers

A, B, C = (ids.ServerId(f"server-{zone}") for zone in "abc")


def test_a_former_primary_that_is_listed_again_as_a_replica_is_counted_once():
    world = proxy_world.World()
    takeovers.expire_entry(world, A)
    assert world.service.server_count.present == 3
    world.group.step_down(world.group.servers[A], 2)
    world.list_servers()
    assert world.service.server_count.listed_at_most == 3


def test_a_lost_server_is_missing_beside_a_former_primary_that_is_listed_again():
    world = proxy_world.World()
    takeovers.expire_entry(world, A)
    world.group.step_down(world.group.servers[A], 2)
    del world.group.servers[C]
    world.list_servers()
    assert world.service.server_count.missing == 1


def test_a_replacement_beside_an_entry_that_an_outage_kept_leaves_no_server_missing():
    """A replica was lost in an outage of the store, and its replacement is listed after it."""
    world = proxy_world.World()
    world.directory.servers.note_outage()
    del world.group.servers[C]
    world.list_servers()
    world.directory.servers.note_recovery(clock.now_s())
    world.group.start_server(zone="d")
    world.list_servers()
    world.directory.servers.recovered_at_s = float("-inf")
    world.directory.expire()
    assert sorted(world.service.servers) == [A, B, "server-d"]
    assert world.service.server_count.missing == 0


def test_a_replacement_that_is_listed_before_the_old_entry_expires_leaves_no_server_missing():
    """A lost replica's entry stays for three heartbeats, longer if leases paused in an outage."""
    world = proxy_world.World()
    world.group.start_server(zone="d")
    world.list_servers()
    del world.group.servers[C]
    world.list_servers()
    assert world.service.server_count.missing == 0


def test_a_former_primary_is_missing_as_soon_as_another_server_is_known_to_lead():
    """It was counted until the list changed, and nothing waited for its replacement."""
    world = proxy_world.World()
    takeovers.expire_entry(world, A)
    assert world.service.server_count.missing == 0
    world.service.note_leading(B, query_sent_at_s=clock.now_s(), position=None)
    assert world.service.server_count.missing == 1


def test_a_server_that_leaves_as_the_list_is_first_read_is_missing():
    count = unlisted_servers.ServerCount()
    count.note(2, 0.0, leaving=1)
    assert count.missing == 1
    count.note(3, 10.0)
    assert count.missing == 0


def test_a_former_primary_that_was_never_seen_listed_may_have_left():
    """It is known from the record of members only, and its replacement is not listed yet."""
    world = proxy_world.World()
    recorded = member_records.encode(world.group.entries())
    takeovers.expire_entry(world, A)
    world.directory.services.clear()
    key = f"{fleet_records.MEMBERS}{database_group.SERVICE}"
    fleet_records.apply(world.directory, change_log.Item(key=key, value=recorded, revision=5))
    world.directory.members.known.clear()
    size = change_log.Item(
        key=f"{fleet_records.SIZES}{database_group.SERVICE}", value=b"3", revision=6
    )
    fleet_records.apply(world.directory, size)
    world.directory.refresh()
    assert world.service.former_primary.server == A
    assert world.service.server_count.missing == 1
