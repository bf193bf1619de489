PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

# The checkout's own packages come first, so that several checkouts can share one environment.
export PYTHONPATH := $(CURDIR)/packages/core:$(CURDIR)/packages/daemon:$(CURDIR)/packages/cli:$(CURDIR)/packages/bench:$(CURDIR)/platform

.PHONY: test check demo measure soak gateway-soak format platform-day

$(VENV)/installed: requirements.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(foreach p,core daemon cli bench,--editable packages/$(p)) --editable platform
	touch $@

test: $(VENV)/installed
	$(MAKE) --no-print-directory check

check:
	$(BIN)/black --check --quiet packages platform conftest.py
	$(BIN)/ruff check packages platform conftest.py
	$(BIN)/mypy
	$(BIN)/pytest

format: $(VENV)/installed
	$(BIN)/black --quiet packages platform
	$(BIN)/ruff check --fix packages platform

demo: $(VENV)/installed
	$(BIN)/python -m gypsumpost_bench.demo

measure: $(VENV)/installed
	$(BIN)/python -m gypsumpost_bench.measure $(if $(QUICK),--quick)

SEED ?= 1
MINUTES ?= 1

soak: $(VENV)/installed
	$(BIN)/python -m gypsumpost_bench.soak --seed $(SEED) --minutes $(MINUTES)

SECONDS ?= 60

gateway-soak: $(VENV)/installed
	$(BIN)/python -m gypsumpost_platform.tests.gateway_soak --seed $(SEED) --seconds $(SECONDS) $(if $(CODE),--code $(CODE))

BENCH ?= ../given/kit/more/system/more/bench-d17393/bin/fleetbench
SITE ?= ../given/kit/more/system/sites/cscfa-filing.toml
DAY ?= quiet-1

platform-day:
	@if [ -x $(BENCH) ]; then $(BENCH) run $(SITE) $(DAY); else echo "the users' bench is not present"; fi
