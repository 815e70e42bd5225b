# The same steps that CI and the deploy file take, by name.
VENV := .venv
BIN := $(VENV)/bin

.PHONY: build test lint run clean

build: $(VENV)/developer

$(VENV)/developer: pyproject.toml requirements.txt
	python3 -m venv $(VENV)
	$(BIN)/pip -q install -e '.[test]'
	touch $(VENV)/built $@

test: build
	PATH="$(CURDIR)/$(BIN):$$PATH" tests/run

lint: build
	$(BIN)/ruff check .
	$(BIN)/mypy

# Needs PROXY_CONFIG, the path of a configuration file; see README.md.
run: build
	$(BIN)/python -m rookwood

clean:
	rm -rf $(VENV) build *.egg-info .mypy_cache .ruff_cache .pytest_cache .hypothesis
