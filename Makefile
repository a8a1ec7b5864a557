PYTHON ?= python3
BIN = .venv/bin

.PHONY: test demo bench format lint install

install: .venv/installed

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check --editable ".[test]"
	touch .venv/installed

test: install
	$(BIN)/pytest -q

demo: install
	$(BIN)/python -m mustardswitch_standins.demo

bench: install
	$(BIN)/mustardswitch-load bench

format: install
	$(BIN)/black --quiet src tests
	$(BIN)/ruff check --quiet --fix src tests

lint: install
	$(BIN)/black --quiet --check src tests
	$(BIN)/ruff check src tests
