"""What the settings of an instance say of leaving backend servers."""

import pathlib

import pytest

from mustardswitch.platform import errors, settings

SETTINGS = """
instance: edge-puget-a-1
zone: puget-a
regions: {puget-a: puget}
callers: 10.0.0.1:8784
health: 10.0.0.1:8785
peers: 10.0.0.1:7441
store: 10.0.0.2:8783
promotions: 10.0.0.3:8783
stop_grace_s: 6
servers: SERVERS
"""


def _parse(given: str) -> settings.Settings:
    return settings.parse_settings(SETTINGS.replace("SERVERS", given), source="s.yaml")


def test_the_time_of_leaving_servers_is_read_in_milliseconds():
    given = '{"heartbeat_ms": 1200, "drain_ms": 9500}'
    read = _parse(given)
    assert read.drain_s == pytest.approx(9.5)


@pytest.mark.parametrize("given", ["", '{"drain_ms": }', '{"heartbeat_ms": 1200}'])
def test_settings_without_the_time_of_leaving_servers_have_the_default(given):
    read = _parse(given)
    assert read.drain_s == settings.DEFAULT_DRAIN_S


@pytest.mark.parametrize("value", ["0", "-1", '"7000"', "true", ".nan", ".inf", "86400001", "[]"])
def test_an_odd_time_of_leaving_servers_is_rejected_with_its_remedy(value):
    given = f'{{"drain_ms": {value}}}'
    with pytest.raises(errors.SettingsError, match="s.yaml: servers: field drain_ms"):
        _parse(given)


def test_the_template_passes_the_bounds_of_the_platform_on():
    template = (pathlib.Path(__file__).parents[2] / "deploy" / "settings.yaml").read_text()
    servers = next(line for line in template.splitlines() if line.startswith("servers:"))
    assert '"drain_ms": {{bounds.drain_ms}} ' in servers
