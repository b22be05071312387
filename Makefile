PYTHON ?= python3.11
BIN = .venv/bin
STAMP = .venv/.installed

.PHONY: setup demo test bench lint format soak soak-state docs

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv || python3 -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation -e .
	touch $(STAMP)

demo: setup
	$(BIN)/chervilcove demo --deployment nile-limescale --seconds 20 --seed 1

test: setup
	$(BIN)/python -m pytest tests

bench: setup
	$(BIN)/chervilcove bench all

soak: setup
	$(BIN)/python -m tests.processes --seed $(or $(SEED),1) \
		--seconds $$(( $(or $(MINUTES),5) * 60 )) --plan $(or $(PLAN),mixed)

soak-state: setup
	$(BIN)/python -m tests.soak --seed $(or $(SEED),1) --minutes $(or $(MINUTES),5)

lint: setup
	$(BIN)/ruff format --check chervilcove tests
	$(BIN)/ruff check chervilcove tests

format: setup
	$(BIN)/ruff check --quiet --fix --exit-zero chervilcove tests
	$(BIN)/ruff format chervilcove tests
