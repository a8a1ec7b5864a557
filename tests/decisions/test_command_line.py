"""Options, exit codes and messages of the programs that need no running instance."""

import pytest
import typer.testing

import mustardswitch
from mustardswitch.programs import mustardctl, mustardswitchd

RUNNER = typer.testing.CliRunner()


@pytest.mark.parametrize("program", [mustardctl, mustardswitchd])
def test_shows_its_version(program):
    result = RUNNER.invoke(program.app, ["--version"])
    assert result.exit_code == 0
    assert result.output.strip().endswith(mustardswitch.__version__)


def test_refuses_unusable_settings_with_exit_code_2(tmp_path):
    path = tmp_path / "entry.yaml"
    path.write_text("instance: a\n")
    result = RUNNER.invoke(mustardswitchd.app, ["check", "--settings", str(path)])
    assert result.exit_code == 2
    assert "field zone" in result.output


def test_refuses_an_address_without_a_port():
    result = RUNNER.invoke(mustardctl.app, ["document", "show", "--store", "nowhere"])
    assert result.exit_code == 2
    assert "is not HOST:PORT" in result.output


def test_says_that_the_store_gave_no_answer_with_exit_code_4():
    result = RUNNER.invoke(mustardctl.app, ["document", "show", "--store", "127.0.0.1:1"])
    assert result.exit_code == 4
    assert "gave no answer" in result.output
