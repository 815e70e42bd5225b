# The same steps that CI and the deploy file take, by name.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test build lint run model experiment clean

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
	$(BIN)/mypy

# Needs PROXY_CONFIG, the path of a configuration file; see README.md.
run: build
	$(BIN)/python -m rookwood

model: build  ## explore the handoff between sites exhaustively
	$(BIN)/rookwood experiment handoff

experiment: build  ## the same traffic without the gateway, with it, and pooled
	$(BIN)/rookwood experiment gateway

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .pytest_cache .hypothesis
