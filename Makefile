# PYTHON makes the environment; VENV may name one that is there already.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: build test lint run batch idle bench fleet mixed customers

build:
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-dev.txt

# CI has ten cores for itself. Three of the processes run the tests that start fleets and judge them by the wall
# clock (tests/support/schedule.py), each of which keeps up to two cores busy; the others keep one each. One core is
# left, for a fleet that gets no processor breaks its rules.
TEST_PROCESSES ?= 6
test:
	$(BIN)/python -m pytest -q -p no:cacheprovider -n $(TEST_PROCESSES) --dist loadgroup

lint:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy --strict eiderfield tests/support

# CONFIG names an operator's file; without it the LB_* variables tell all.
run:
	$(BIN)/python -m eiderfield $(if $(CONFIG),--config $(CONFIG))

# What idle connections cost, some four minutes; IDLE names other sizes and times.
IDLE ?= --connections 10000 --connections 19000 --window 4 --rounds 8
idle:
	$(BIN)/python -m eiderfield.cli lab idle $(IDLE)

# Many processes while parts fail, some two minutes; SEEDS names other scripts.
SEEDS ?= 0-9
fleet:
	$(BIN)/python -m eiderfield.cli lab fleet run --seeds $(SEEDS)

# This revision beside another, whose folder BEFORE names: in one fleet that talks over datagrams, with durable requests
# in one folder while dispatchers are killed, and in rolling changes from one to the other and back, with handovers.
BEFORE ?=
mixed:
	test -d "$(BEFORE)/eiderfield"
	$(BIN)/python -m eiderfield.cli lab fleet run --seeds $(SEEDS) --program n0=$(BEFORE)
	$(BIN)/python -m eiderfield.cli lab fleet run --program n0=$(BEFORE) --program n2=$(BEFORE) deploy/fleet-mixed-revisions.toml
	$(BIN)/python -m eiderfield.cli lab fleet run --program n1=$(BEFORE) deploy/fleet-mixed-revisions.toml
	$(BIN)/python -m eiderfield.cli lab fleet rollouts --seeds $(SEEDS) --before $(BEFORE)
	cd $(BEFORE) && $(abspath $(BIN))/python -m eiderfield.cli lab fleet rollouts --seeds $(SEEDS) --before $(CURDIR)

# The operators' benches for each site in turn, beside the journal's last figures. It needs their kit.
KIT ?= ../given/kit
SITES ?= $(KIT)/users/sofia-admissions.toml $(KIT)/sites/kochi-claims.toml
WHY ?= The regression of both deployments in turn.
bench:
	$(BIN)/python -m eiderfield.cli lab regression --kit $(KIT) --why "$(WHY)" $(SITES)

# A simulated scheduler with 10,000 jobs; `test` plays a smaller one.
batch:
	BATCH_JOBS=10000 $(BIN)/python -m pytest -q -p no:cacheprovider tests/test_batch.py -k scheduler

# The project's own customers, which are unlike the operators', quick and at close range. The bench wants three
# files of the kit beside a site; they are laid there for the play, and git ignores them.
CUSTOMERS ?= $(wildcard deploy/sites/*.toml)
SEED ?= 1
customers:
	cp -f $(addprefix $(KIT)/sites/,real.json wire.json unlock.txt) deploy/sites/
	set -e; for site in $(CUSTOMERS); do \
	  $(KIT)/more/mass/bin/lbreal score $$site --quick --why "$(WHY)"; \
	  $(KIT)/more/mass/bin/lbreal score $$site --panel brink --seed $(SEED) --why "$(WHY)"; \
	done
