SITE ?= kadalpura
SEED ?= 1
SECONDS ?= 30
DAYS ?= 50
SCENARIO ?= small
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
# The tests of known faults, which KNOWN-RED.txt names in lines "test: ID".
KNOWN_RED := $(shell sed -n 's/^ *test: /--deselect /p' KNOWN-RED.txt)

.PHONY: demo test check measure fuzz faults format lab days mutants review

$(READY): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $(READY)

demo: $(READY)
	$(BIN)/python -m support.demo.run --site $(SITE)
	$(BIN)/python -m support.demo.jobs --seed $(SEED)

test: check
	PYTHONHASHSEED=0 $(BIN)/python -m pytest $(KNOWN_RED)

check: $(READY)
	$(BIN)/ruff format --check src support tests
	$(BIN)/ruff check src support tests
	$(BIN)/mypy

format: $(READY)
	$(BIN)/ruff check --fix src support tests
	$(BIN)/ruff format src support tests

measure: $(READY)
	$(BIN)/python -m support.measure.run --seed $(SEED)

fuzz: $(READY)
	$(BIN)/python -m support.fuzz.run --seconds $(SECONDS) --seed $(SEED)

faults: $(READY)
	$(BIN)/python -m support.faults.run --seed $(SEED)
	$(BIN)/python -m support.faults.entry_run --seed $(SEED)

lab: $(READY)
	PYTHONHASHSEED=0 $(BIN)/python -m support.sim.run --seed $(SEED)

days: $(READY)
	PYTHONHASHSEED=0 $(BIN)/python -m support.sim.soak --scenario $(SCENARIO) --days $(DAYS) --seed $(SEED)

mutants: $(READY)
	PYTHONHASHSEED=0 $(BIN)/python -m support.sim.mutants --days $(DAYS) --seed $(SEED)

review: $(READY)
	$(BIN)/python -m support.review.run
