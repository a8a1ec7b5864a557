"""``mustardswitchd``: runs an entry instance."""

import asyncio
import pathlib
import signal
import time
from typing import Annotated

import grpclib.server
import typer

from mustardswitch import build, events, settings, tls, tracing
from mustardswitch.callers import server as caller_server
from mustardswitch.instance import node
from mustardswitch.peers import server as peer_server
from mustardswitch.programs import health, version_option

EXIT_BAD_SETTINGS = 2
GAUGE_INTERVAL_S = 1.0

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help="An entry instance of mustardswitch, a database proxy with session consistency.\n\n"
    "Exit codes: 0 stopped after a drain, 2 unusable settings.",
)


@app.callback()
def _options(version: version_option.VersionOption = False) -> None:
    """Declare the options that precede a command."""


SettingsPath = Annotated[pathlib.Path, typer.Option("--settings", help="YAML settings file.")]


def _load(path: pathlib.Path) -> settings.Settings:
    try:
        return settings.load_settings(path)
    except settings.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error


def _load_tls(config: settings.Settings) -> tls.TlsContexts:
    try:
        return tls.load(config.tls)
    except tls.TlsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS) from error


@app.command()
def check(path: SettingsPath) -> None:
    """Check a settings file and its TLS files without starting the instance."""
    config = _load(path)
    _load_tls(config)
    typer.echo(f"settings are usable: instance {config.instance} in zone {config.zone}")


@app.command()
def run(path: SettingsPath) -> None:
    """Serve callers until SIGTERM, then drain and stop."""
    config = _load(path)
    contexts = _load_tls(config)
    with events.stderr_handler().applicationbound():
        asyncio.run(_Daemon(config=config, contexts=contexts).run())


class _Daemon:
    """Starts, drains and stops one entry instance."""

    def __init__(self, *, config: settings.Settings, contexts: tls.TlsContexts) -> None:
        self.config = config
        self.contexts = contexts

    def _reload_keys(self) -> None:
        """Reload the TLS files; the old keys stay in force when the files cannot be used."""
        try:
            tls.reload(self.contexts, self.config.tls)
        except tls.TlsError as error:
            events.log(events.Event.KEYS_REJECTED, error=error)
        else:
            events.log(events.Event.KEYS_RELOADED)

    async def run(self) -> None:
        """Start all servers, wait for SIGTERM or SIGINT, then drain and stop."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        if self.config.trace_file is not None:
            tracing.TRACER.export_to_file(self.config.trace_file, instance=self.config.instance)
        contexts = self.contexts
        loop.add_signal_handler(signal.SIGHUP, self._reload_keys)
        entry = node.Node(config=self.config, contexts=contexts)
        callers = caller_server.CallerServer(
            entry=entry, config=self.config, tls=contexts.callers_server
        )
        peers = grpclib.server.Server(
            [peer_server.PeerService(handler=entry), peer_server.OperatorService(handler=entry)]
        )
        health_server = health.build_server(
            is_ready=lambda: entry.is_ready and not stop_requested.is_set(),
            registry=entry.registry,
        )
        await peers.start(
            self.config.peers.address, self.config.peers.port, ssl=contexts.peers_server
        )
        entry.start()
        gauges = asyncio.create_task(_update_gauges(entry, callers))
        await callers.start()
        await health_server.start(self.config.health.address, self.config.health.port)
        events.log(
            events.Event.STARTED,
            instance=self.config.instance,
            build=build.build_id(),
            zone=self.config.zone,
        )
        await stop_requested.wait()
        deadline_s = time.monotonic() + self.config.drain_s
        await callers.stop_listening()
        await asyncio.gather(
            callers.drain(deadline_s=deadline_s), entry.drain(deadline_s=deadline_s)
        )
        callers.close()
        gauges.cancel()
        await entry.close()
        peers.close()
        health_server.close()
        tracing.TRACER.close()
        events.log(events.Event.STOPPED, instance=self.config.instance)


async def _update_gauges(entry: node.Node, callers: caller_server.CallerServer) -> None:
    while True:
        registry = entry.registry
        registry.set_gauge("callers", len(callers.streams_by_session))
        registry.set_gauge("members", entry.peers.membership.fleet_size)
        registry.set_gauge("gossip_sent_bytes", entry.peers.sent_bytes)
        registry.set_gauge("gossip_received_bytes", entry.peers.received_bytes)
        registry.set_gauge("statement_parses", callers.classifier.parses)
        for name, gateway in entry.manager.gateways.items():
            key = name.replace("-", "_")
            registry.set_gauge(f"backend_connections_{key}", gateway.connections_held)
        await asyncio.sleep(GAUGE_INTERVAL_S)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
