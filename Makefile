PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
ARGS ?=
SECONDS ?= 60
SEED ?= 1
RUNS ?= 1
HOSTS ?= 7

.PHONY: demo test lint format soak fuzz capacity bench policy ablation

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock setuptools==83.0.0
	$(BIN)/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: $(VENV)/.ready
	$(BIN)/hyssop-demo $(ARGS)

test: $(VENV)/.ready
	$(BIN)/python tests/run.py

lint: $(VENV)/.ready
	$(BIN)/ruff format --check src tests examples benchmarks
	$(BIN)/ruff check src tests examples benchmarks

format: $(VENV)/.ready
	$(BIN)/ruff format src tests examples benchmarks
	$(BIN)/ruff check --fix src tests examples benchmarks

bench: $(VENV)/.ready
	$(BIN)/python benchmarks/changes.py
	$(BIN)/python benchmarks/throughput.py

capacity: $(VENV)/.ready
	$(BIN)/python benchmarks/capacity.py

policy: $(VENV)/.ready
	$(BIN)/python benchmarks/policy.py $(ARGS)

ablation: $(VENV)/.ready
	$(BIN)/python benchmarks/ablation.py $(ARGS)

soak: $(VENV)/.ready
	$(BIN)/hyssop-soak --seed $(SEED) --runs $(RUNS) --seconds $(SECONDS) \
	    --hosts $(HOSTS) $(ARGS)

fuzz: $(VENV)/.ready
	HYSSOP_SOAK_EXAMPLES=$$(( $(SECONDS) * 10 )) $(BIN)/python -m pytest \
	    --hypothesis-profile soak --hypothesis-seed $(SEED) \
	    -k "random_edits or random_faults or add_up" tests
