# Every target sets up what it needs; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/ready
WORKERS ?= 4

.PHONY: demo test lint format binary bench capacity lock wire clean

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --require-hashes -r requirements.lock
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m testing.demo

test: $(READY) binary
	$(BIN)/python -m pytest -n $(WORKERS) --dist loadgroup

lint: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

binary: dist/comfreylatch

dist/comfreylatch: $(READY) $(shell find src -name '*.py')
	mkdir -p dist
	$(BIN)/python -m testing.build_binary dist/comfreylatch

bench: $(READY)
	$(BIN)/python -m testing.bench

capacity: $(READY)
	$(BIN)/python -m testing.capacity

# Needs thrift-compiler; its output is committed, so a build does not.
wire:
	thrift --gen py:slots -out src/comfreylatch/_wire/gen src/comfreylatch/_wire/peer.thrift

# Needs uv; rewrites the hashes after a change of dependencies.
lock:
	uv pip compile --quiet --generate-hashes --no-header --extra dev -o requirements.lock pyproject.toml
	uv pip compile --quiet --generate-hashes --no-header -c requirements.lock -o requirements-runtime.lock pyproject.toml

clean:
	rm -rf $(VENV) build dist out src/*.egg-info
