"""Records of the store and settings: errors name the invalid field, and valid records stay."""

import asyncio
import json
import pathlib

import hypothesis
import pytest
from hypothesis import strategies as st

from mustardswitch import http_calls
from mustardswitch.internal import (
    change_log,
    clock,
    ids,
    promotion,
    registration_list,
    unlisted_servers,
)
from mustardswitch.peers import datagrams
from mustardswitch.platform import errors, follower, records, settings, store
from mustardswitch.proxy import directory, fleet_records, ports, requests
from mustardswitch.proxy import errors as proxy_errors
from mustardswitch_standins import fleet, http_store
from tests.common import platform_records, store_world


def test_reads_the_entry_of_a_server():
    entry = records.decode_server("servers/i-1", platform_records.server_entry(), 5)
    assert entry.server == "i-1"
    assert (entry.host, entry.port) == ("10.128.0.9", 8080)
    assert entry.role is promotion.Role.REPLICA
    assert entry.started_ms == 1700000000000
    assert not entry.leaving


@pytest.mark.parametrize(
    "changes, words",
    [
        ({"addr": 5}, "field addr"),
        ({"addr": "nowhere"}, "give IP:PORT"),
        ({"state": "resting"}, "one of ready, draining"),
        ({"db_role": None}, "one of primary, replica"),
        ({"slots": "3"}, "field slots"),
        ({"born": 1.5}, "field born"),
        ({"service": "a b"}, "no blanks"),
    ],
)
def test_rejects_an_invalid_entry_naming_field_and_remedy(changes, words):
    with pytest.raises(errors.InvalidRecordError) as raised:
        records.decode_server("servers/i-1", platform_records.server_entry(**changes), 5)
    assert words in str(raised.value)
    assert "i-1" in str(raised.value)


@pytest.mark.parametrize("value", platform_records.odd_entries())
def test_an_entry_with_any_field_odd_or_missing_names_no_server(value):
    """Such an entry was taken for a replica, and every promotion waited for its answer."""
    with pytest.raises(errors.InvalidRecordError):
        records.decode_server("servers/i-1", value, 5)


@pytest.mark.parametrize("name", ["\ud800", "a b", "a\r\n", ""])
def test_an_entry_under_an_id_that_cannot_be_sent_names_no_server(name):
    with pytest.raises(errors.InvalidRecordError):
        records.decode_server(f"servers/{name}", platform_records.server_entry(), 5)


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b"5", b"{", b"null", platform_records.DEEP_NESTING]
)
def test_rejects_values_that_are_not_json_objects(value):
    with pytest.raises(errors.InvalidRecordError):
        records.decode_server("servers/i-1", value, 5)
    with pytest.raises(errors.InvalidRecordError):
        records.decode_configuration(value)


def test_reads_the_operators_configuration():
    decoded = records.decode_configuration(platform_records.configuration())
    route = decoded.routes[ids.DatabaseName("fiti832")]
    assert route.kind is requests.RouteKind.READ_YOUR_WRITES
    assert route.statement_timeout_s == 0.8
    assert route.max_staleness_s == 2.5
    assert route.target_latency_s == 1.0
    assert decoded.services[ids.ServiceName("huvo11a")].max_connections == 23
    assert decoded.transaction_idle_s == 3.0


@pytest.fixture
def followed() -> follower.Follower:
    return follower.Follower(
        client=store.Store(host="127.0.0.1", port=1), directory=store_world.build_directory()
    )


def _item(key: str, value: bytes | None, revision: int) -> change_log.Item:
    return change_log.Item(key=key, value=value, revision=revision)


def test_an_invalid_record_leaves_the_last_valid_one_in_effect(followed):
    followed.apply(_item("servers/i-1", platform_records.server_entry(), 5))
    followed.apply(_item("servers/i-1", b"broken", 6))
    assert followed.directory.servers.entries["i-1"].revision == 5
    assert followed.directory.registry.total("records_rejected") == 1


def test_an_entry_that_another_writer_overwrote_holds_until_it_would_have_expired(
    followed, monkeypatch
):
    """A server that runs writes its entry again; one that does not is not waited for for good."""
    servers = followed.directory.servers
    servers.note_recovery(0.0)
    followed.apply(_item("servers/i-1", platform_records.server_entry(), 5))
    followed.apply(_item("servers/i-1", platform_records.server_entry(slots=10**30), 6))
    overwritten_s = clock.now_s()
    assert not servers.expire(overwritten_s + 1.0)
    followed.apply(_item("servers/i-1", platform_records.server_entry(seq=5), 7))
    assert not servers.expire(overwritten_s + 5.0)
    followed.apply(_item("servers/i-1", platform_records.DEEP_NESTING, 8))
    assert servers.expire(clock.now_s() + registration_list.OVERWRITTEN_RETENTION_S)
    assert "i-1" not in servers.entries


@pytest.mark.parametrize("port", ["0", "65536", "99999999", "\u0661", "-1", ""])
def test_a_registration_with_a_port_out_of_range_is_rejected(port):
    with pytest.raises(proxy_errors.FleetRecordError):
        fleet_records.decode_peer(f"puget-a 10.0.0.1 {port}".encode())


def test_a_late_older_change_is_not_applied(followed):
    followed.apply(_item("servers/i-1", platform_records.server_entry(db_role="primary"), 9))
    followed.apply(_item("servers/i-1", platform_records.server_entry(), 5))
    assert followed.directory.servers.entries["i-1"].role is promotion.Role.PRIMARY
    followed.apply(_item("servers/i-1", None, 7))
    assert "i-1" in followed.directory.servers.entries


def test_an_older_configuration_is_not_applied(followed):
    followed.apply(_item("op/config", platform_records.configuration(version=9), 9))
    followed.apply(_item("op/config", platform_records.configuration(version=8), 10))
    assert followed.directory.configuration.version == 9


def test_registrations_votes_and_claims_are_followed(followed):
    address = datagrams.PeerAddress(host="10.0.0.1", port=7455)
    peer = directory.Peer(zone=ids.ZoneName("puget-a"), address=address)
    key = f"{fleet_records.INSTANCES}two"
    followed.apply(_item(key, fleet_records.encode_peer(peer), 3))
    assert followed.directory.instances.entries["two"] == peer
    followed.apply(_item(f"{fleet_records.VOTES}orders/i-1/two", b"", 4))
    assert followed.directory.voters(ids.ServiceName("orders"), ids.ServerId("i-1")) == {"two"}
    followed.apply(_item(f"{fleet_records.CLAIMS}orders", b"two abc", 5))
    assert followed.directory.claims["orders"] == "two"
    followed.apply(_item(f"{fleet_records.CLAIMS}orders", None, 6))
    assert not followed.directory.claims


async def test_a_change_that_a_watch_missed_is_in_force_within_four_seconds(followed):
    """Guards against a configuration that comes into force too late because a watch missed it.

    The store drops its history when the change is made, as in the scenario Solarloaf grown scale-1,
    so that the watch in progress does not report it; the next watch must report it.
    """
    port = fleet.free_ports(1)[0]
    stand_in = http_store.HttpStore(promote=lambda service, server, token: False)
    await stand_in.start(port)
    stand_in.put("op/config", platform_records.configuration())
    followed.client = store.Store(host="127.0.0.1", port=port)
    following = asyncio.create_task(followed.run())
    await followed.loaded.wait()
    stand_in.not_receiving = True
    followed.interrupt_watch()
    await asyncio.sleep(0.5)
    stand_in.put("op/config", platform_records.configuration(version=9))
    changed_s = clock.now_s()
    await asyncio.sleep(0.3)
    stand_in.not_receiving = False
    while followed.directory.configuration.version != 9 and clock.now_s() - changed_s < 20.0:
        await asyncio.sleep(0.02)
    elapsed_s = clock.now_s() - changed_s
    following.cancel()
    await asyncio.gather(following, return_exceptions=True)
    followed.client.close()
    stand_in.close()
    assert elapsed_s < 4.0


async def test_a_released_claim_leaves_the_marker_of_an_unanswered_promotion_request():
    world = store_world.StoreWorld()
    await world.start()
    client = world.client
    first, second = world.coordination, world.join("two")
    world.allow_claims(first.directory, second.directory)
    orders = ids.ServiceName("orders")
    marker = f"{fleet_records.UNFINISHED}orders"
    claim = await first.claim(orders)
    assert await second.claim(orders) is None
    assert (
        fleet_records.decode_unfinished((await client.read(marker)).value)
        is ports.UnfinishedChange.PAUSED
    )
    assert await first.recorded_promotion(orders) is None
    assert await first.record_promotion(claim, ids.ServerId("i-1"))
    assert (
        fleet_records.decode_unfinished((await client.read(marker)).value)
        is ports.UnfinishedChange.PROMOTION_REQUESTED
    )
    requested = ports.UnfinishedChange.PROMOTION_REQUESTED
    await first.release(claim, unfinished=requested, promoted=ids.ServerId("i-1"))
    later = await second.claim(orders)
    assert later.fencing_token > claim.fencing_token
    assert await second.recorded_promotion(orders) == "i-1"
    assert not await first.record_promotion(claim, ids.ServerId("i-2"))
    await first.release(claim)
    assert (await client.read(marker)) is not None
    assert await second.recorded_promotion(orders) == "i-1"
    await second.release(later)
    assert await client.read(marker) is None
    assert await second.recorded_promotion(orders) is None
    await world.stop()


SETTINGS = """
instance: one
zone: puget-a
regions: {"puget-a": "puget"}
callers: 10.0.0.1:8784
health: 10.0.0.1:8785
metrics: ""
peers: 10.0.0.1:7455
store: 10.0.0.2:8783
promotions: 10.0.0.3:8783
stop_grace_s: 6
contracts: [base, pressure]
servers: {"heartbeat_ms": 1200}
limits: {"memory_mb": 200, "max_fds": 4300, "cpu_share": 0.5}
"""


def test_reads_settings():
    read = settings.parse_settings(SETTINGS, source="s.yaml")
    assert read.callers == settings.Address(host="10.0.0.1", port=8784)
    assert read.metrics is None
    assert read.stop_grace_s == 6.0
    assert read.limits == settings.Limits(memory_mb=200, max_fds=4300)


GIVEN = '{"heartbeat_ms": 1200}'


@pytest.mark.parametrize("given", [GIVEN, '{"catch_up_s": 6, "heartbeat_ms": 1200}'])
def test_a_server_that_runs_is_listed_about_a_heartbeat_after_its_start(given):
    """Older files name another time, which says nothing of the list."""
    read = settings.parse_settings(SETTINGS.replace(GIVEN, given), source="s.yaml")
    assert read.listing_s == pytest.approx(1.5)


def test_a_long_heartbeat_is_waited_for_in_full():
    """A server that has started may not be listed before."""
    given = '{"heartbeat_ms": 60000}'
    read = settings.parse_settings(SETTINGS.replace(GIVEN, given), source="s.yaml")
    assert read.listing_s == pytest.approx(75.0)


@pytest.mark.parametrize("given", ["", '{"heartbeat_ms": }', '{"catch_up_s": 4}'])
def test_settings_without_the_heartbeat_of_servers_have_the_default(given):
    read = settings.parse_settings(SETTINGS.replace(GIVEN, given), source="s.yaml")
    assert read.listing_s == unlisted_servers.DEFAULT_LISTING_S


def test_settings_without_limits_have_the_defaults():
    without = "".join(
        line for line in SETTINGS.splitlines(keepends=True) if not line.startswith("limits")
    )
    assert settings.parse_settings(without, source="s.yaml").limits == settings.Limits()
    partly = settings.parse_settings(f'{without}limits: {{"max_fds": 99}}', source="s.yaml")
    assert partly.limits == settings.Limits(max_fds=99)


@pytest.mark.parametrize(
    "before, after, words",
    [
        ("instance: one", "instance: a/b", "field instance"),
        ("10.0.0.2:8783", "10.0.0.2", "field store"),
        ("stop_grace_s: 6", "stop_grace_s: -1", "seconds above 0"),
        ("zone: puget-a", "zones: x", "field zone"),
        ('"memory_mb": 200', '"memory_mb": "much"', "field memory_mb"),
        ('"max_fds": 4300', '"max_fds": 0', "give a number from 1"),
        ('{"memory_mb": 200,', "[200]  # {", "field limits"),
        ('{"heartbeat_ms": 1200}', "[1200]", "field servers"),
        ('"heartbeat_ms": 1200', '"heartbeat_ms": -1200', "field heartbeat_ms"),
        ("instance: one", "instance: [", "not valid YAML"),
    ],
)
def test_rejects_invalid_settings_naming_field_and_remedy(before, after, words):
    with pytest.raises(errors.SettingsError) as raised:
        settings.parse_settings(SETTINGS.replace(before, after), source="s.yaml")
    assert words in str(raised.value)
    assert "s.yaml" in str(raised.value)


def test_the_template_names_every_setting():
    template = pathlib.Path(__file__).parents[2] / "deploy" / "settings.yaml"
    named = {line.partition(":")[0] for line in template.read_text().splitlines()}
    assert named == {line.partition(":")[0] for line in SETTINGS.strip().splitlines()}


@hypothesis.given(
    key=st.sampled_from(
        ["op/config", "servers/i-1"]
        + [
            f"{prefix}x"
            for prefix in (
                fleet_records.INSTANCES,
                fleet_records.VOTES,
                fleet_records.CLAIMS,
                fleet_records.UNFINISHED,
            )
        ]
    ),
    value=st.one_of(
        st.binary(max_size=40),
        st.just(b"[" * 100_000),
        st.just("zone host \u00b2".encode()),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["routes", "services", "limits", "addr", "version"]), inner
            ),
        ).map(lambda fields: json.dumps(fields).encode()),
    ),
)
@hypothesis.settings(suppress_health_check=list(hypothesis.HealthCheck), max_examples=300)
def test_no_value_of_another_writer_ends_the_follower(followed, key, value):
    followed.apply(_item(key, value, 5))


@pytest.mark.parametrize(
    "body",
    [
        b"[]",
        b"{}",
        b'{"items":5}',
        b'{"items":[{"key":"k"}],"events":[{"key":"k"}],"store_revision":1}',
        b"\xff",
    ],
)
async def test_a_malformed_answer_of_the_store_is_a_failed_call(monkeypatch, body):
    client = store.Store(host="127.0.0.1", port=1)

    async def answer(*arguments, **options):
        return http_calls.Response(status=200, body=body)

    monkeypatch.setattr(http_calls.Connection, "call", answer)
    for call in (
        client.list_all(""),
        client.watch("", after=1, wait_s=1.0),
        client.grant_lease(1.0),
        client.change(expected={}),
    ):
        with pytest.raises(proxy_errors.StoreError):
            await call


def test_a_new_version_decodes_only_the_routes_that_changed():
    """Guards against instances that fall behind while a configuration of many routes changes."""
    decoder = records.ConfigurationDecoder()
    first = decoder.decode(_configuration("one", "two"))
    second = decoder.decode(_configuration("two", "three", timeout_ms={"three": 700}))
    third = decoder.decode(_configuration("two", "three", timeout_ms={"three": 900}))
    assert second.routes["two"] is first.routes["two"]
    assert set(second.routes) == {"two", "three"}
    assert third.routes["two"] is first.routes["two"]
    assert third.routes["three"].statement_timeout_s == 0.9


def test_a_rejected_version_changes_no_decoded_route():
    decoder = records.ConfigurationDecoder()
    first = decoder.decode(_configuration("one"))
    with pytest.raises(errors.InvalidRecordError):
        decoder.decode(_configuration("one", "two", timeout_ms={"two": "soon"}))
    assert decoder.decode(_configuration("one")).routes["one"] is first.routes["one"]


def _configuration(*hosts, timeout_ms=None):
    built = [
        {
            "name": f"r-{host}",
            "host": host,
            "service": "orders",
            "type": "primary",
            "timeout_ms": (timeout_ms or {}).get(host, 800),
        }
        for host in hosts
    ]
    body = {"version": 1, "routes": built, "services": [], "limits": {"tx_idle_ms": 3000}}
    return json.dumps(body).encode()
