# build: what `run` and `sim` need, into .venv   check: the tests and lint, in a venv of their own
# demo: an object front over a watched list and emulated nodes, with objects going in and out, in a third
PYTHON ?= python3
DEV := .ci-venv
FULL := .run-venv
CONFIG ?= deploy/watched.toml

.PHONY: build test lint check demo run rehearse front planted-moments planted-soak bench-rehearsals bench-fleet bench-versions bench-rooms bench-restarts planted-lists explore-lists bench-lists bench-watch bench-long-lists planted-routes both-ways both-builds bench-virtual bench-news bench-leaving bench-call-ids bench-connections bench-slow-answers bench-cold-ramp soak clean

build:
	cmp -s requirements.txt .venv/requirements.done || (rm -rf .venv && $(PYTHON) -m venv .venv && \
		.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/requirements.done)
	.venv/bin/python -m compileall -q umberlead

$(DEV)/requirements.done: requirements.txt requirements-more.txt requirements-dev.txt
	rm -rf $(DEV)
	$(PYTHON) -m venv $(DEV)
	$(DEV)/bin/pip -q install -r requirements-dev.txt
	touch $@

$(FULL)/requirements.done: requirements.txt requirements-more.txt
	rm -rf $(FULL)
	$(PYTHON) -m venv $(FULL)
	$(FULL)/bin/pip -q install -r requirements-more.txt
	touch $@

test: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m pytest

lint: $(DEV)/requirements.done
	$(DEV)/bin/ruff check .
	$(DEV)/bin/ruff format --check .
	$(DEV)/bin/python -B -m pytest -q tests/test_lint_debt.py
	$(DEV)/bin/mypy

check: test lint

# `run` is the same until Ctrl-C without load of its own: ask it what you like.
demo: $(FULL)/requirements.done
	$(FULL)/bin/python -B -m umberlead demo $(CONFIG)

run: $(FULL)/requirements.done
	$(FULL)/bin/python -B -m umberlead demo $(CONFIG) --rate 0

# A script over emulated nodes, in virtual time; SOCKETS=--sockets plays it on real ones.
SCRIPT ?= deploy/rehearsals/combined.script
rehearse: $(FULL)/requirements.done
	$(FULL)/bin/python -B -m umberlead rehearse $(SCRIPT) $(SOCKETS)

# One front of CONFIG alone, with what the configuration names behind it.
front: $(FULL)/requirements.done
	$(FULL)/bin/python -B -m umberlead run $(CONFIG)

# 45 mistakes planted in the lists' code, one at a time; half a minute.
planted-lists: $(DEV)/requirements.done
	$(DEV)/bin/python -B tests/planted.py

# Mistakes planted in what rare moments were mended with, one at a time; two minutes.
planted-moments: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m tests.planted_moments

# The front's guards taken out one at a time, each to be found by the soak's judge on three seeds; 8 minutes.
planted-soak: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m tests.planted_soak

# All orders of events through the lists' machine, to DEPTH.
DEPTH ?= 5
explore-lists: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m umberlead.testing.explore $(DEPTH)

# 50 swaps a second under load; 3 minutes and a quiet machine. Writes docs/measurements/.
bench-lists bench-watch: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.watched_lists --keep

# Mistakes planted in configuration, list and program, each to be named by a rule of the example suite; 2 minutes.
planted-routes: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.planted_routes --keep

# 36 scenarios in virtual time and on sockets, compared request by request; a minute and a quiet machine.
both-ways: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.both_ways --keep

# Lists of up to 20,000 servers loaded beside a live loop; a quarter of a minute.
bench-long-lists: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.long_lists --keep

# An earlier build beside the present one: stored data, verdicts, hand-over and gossip; 5 minutes.
BEFORE ?= HEAD
both-builds: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m tests.both_builds $(BEFORE) $(CHECK)

# Routing tests' speed by servers and collections, and the observer's cost; half a minute.
bench-virtual: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.virtual_time --keep

# One script on sockets twice and in virtual time; the judge's planted fronts; 3 minutes and a quiet machine.
bench-rehearsals: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.rehearsals --keep

# Cold servers under 1 to 200 processes in virtual time, before and now; a minute and a half.
bench-cold-ramp: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.cold_ramp --keep

# Virtual time's speed and memory by fronts and servers, up to 200 of each; 3 minutes.
bench-fleet: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.fleet_speed --keep

# Five versions of the module over 24 days like the simulator's; 6 minutes.
bench-versions: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.versions --keep

# A room lost: sockets with and without [rooms], ten days of five scenarios, verdicts by simulation; 8 minutes.
bench-rooms: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.room_loss --keep

# 60 fronts started together on busy cores, by what discovery does; 2 minutes. In the platform's own environment.
bench-restarts: build
	.venv/bin/python -B -m benchmarks.restarts --keep

# How soon a fleet of 1 to 200 fronts knows a change, by simulation; under a minute.
bench-news: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.news --keep

# Clients that leave, free, on a busy core and stopped, with the closer look and without; a minute and a half.
bench-leaving: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.leaving --keep

# The shared table of call ids: time a reservation, memory; a few seconds and a quiet machine.
bench-call-ids: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.shared_call_ids

# Cost of a connection, a request and a decision in an earlier build and in this one; a minute and a quiet machine.
bench-connections: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.connection_cost --before $(BEFORE)

# What long answers in lumps, and such that stall, hold at a front of an earlier build and of this one; 2 minutes.
bench-slow-answers: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m benchmarks.slow_answers --before $(BEFORE)

# Real processes under overlapping faults, judged by invariants; half a minute a run. SOAK="--seed 3 --runs 10 --seconds 60
# --trouble clock_step --keep FOLDER --verbose": seed, length, faults, records. SOAK="--seed 101 --runs 50 --seconds 12
# --results FILE": a long run, which goes on where it was broken off; `python -m umberlead.testing.soak.results FILE` makes a table.
SOAK ?= --verbose
soak: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m umberlead.testing.soak $(SOAK)

clean:
	rm -rf .venv $(DEV) $(FULL) .pytest_cache .mypy_cache .ruff_cache .hypothesis
