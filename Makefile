# The same steps that CI and the deploy file take, by name.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test build lint run model experiment sites clean

demo: build  ## two sites on this machine, a burst of jobs, live
	$(BIN)/rookwood demo

test: build  ## lint, types and tests
	PATH="$(CURDIR)/$(BIN):$$PATH" tests/run

build: $(VENV)/developer

$(VENV)/developer: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip -q install -e '.[test]'
	touch $(VENV)/built $@

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

# Needs PROXY_CONFIG, the path of a configuration file; see README.md.
run: build
	$(BIN)/python -m rookwood

model: build  ## explore the handoff between sites exhaustively
	$(BIN)/rookwood experiment handoff

experiment: build  ## the same traffic without the gateway, with it, and pooled
	$(BIN)/rookwood experiment gateway

# What the platform's bench wants beside a site file is the platform's own, and never kept here.
PLATFORM := ../given/kit/more/mass/other

sites:  ## lay the platform's names and wire beside the deployments in deploy/sites, for a play of them
	@test -d $(PLATFORM) || { echo "sites: the platform's kit is not at $(PLATFORM)"; exit 1; }
	cp -f $(PLATFORM)/real.json $(PLATFORM)/wire.json $(PLATFORM)/unlock.txt deploy/sites/

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .pytest_cache .hypothesis
