# Makefile -- Set up, test, measure and format mountladder
# Copyright (C) 2026 The mountladder authors
# SPDX-License-Identifier: Apache-2.0

VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/core packages/entry packages/standins packages/cli platform

.PHONY: setup demo compiled test bench soak days regression lint format

setup: $(VENV)/ready

$(VENV)/ready: requirements.lock $(PACKAGES:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(PACKAGES:%=-e %)
	touch $@

demo: setup
	$(BIN)/mountladder demo

# Scenarios start real instances. These load compiled modules, as on the platform (deploy/build.sh),
# also where PYTHONDONTWRITEBYTECODE is set and each start would compile 350 modules again.
compiled: setup
	$(BIN)/python -m compileall -q $(PACKAGES:%=%/src)

test: compiled
	$(BIN)/python features/run.py

bench: setup
	$(BIN)/python bench/run.py

# Fault soak: runs real processes and injects faults that are drawn from seeds. Options: SEED,
# SEEDS, MINUTES, INSTANCES, KNOWN=1 (the seeds that have found a violation before), ISOLATE=1 (a
# data centre is cut off during a release, in place of the faults that a seed draws; from seed 101
# on with further faults in series).
soak: setup
	PYTHONPATH=platform/tests $(BIN)/python -m soak.run $(if $(SEED),--seed $(SEED)) \
		$(if $(SEEDS),--seeds $(SEEDS)) $(if $(MINUTES),--minutes $(MINUTES)) \
		$(if $(INSTANCES),--instances $(INSTANCES)) $(if $(KNOWN),--known) \
		$(if $(ISOLATE),--isolate)

# Runs one day of the external benchmark fleetbench. FLEETBENCH and SITE are paths, DAY is a name,
# WHY is a line for the journal.
days:
	$(FLEETBENCH) run $(SITE) $(DAY) --why "$(WHY)"

# Runs the days of bench/regression.toml and compares their scores with the recorded bounds.
# FLEETBENCH and SITES are paths; ONLY selects the sites whose path contains it.
regression: setup
	$(BIN)/python bench/regression.py --fleetbench $(FLEETBENCH) --sites $(SITES) \
		$(if $(ONLY),--only $(ONLY))

lint: setup
	$(BIN)/black --check --quiet packages platform features bench
	$(BIN)/ruff check packages platform features bench

format: setup
	$(BIN)/black --quiet packages platform features bench
	$(BIN)/ruff check --fix packages platform features bench
