# build: what `run` and `sim` need, into .venv   check: the tests and lint, in a venv of their own
PYTHON ?= python3
DEV := .ci-venv

.PHONY: build test lint check run clean

build:
	cmp -s requirements.txt .venv/requirements.done || (rm -rf .venv && $(PYTHON) -m venv .venv && \
		.venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/requirements.done)
	.venv/bin/python -m compileall -q umberlead

$(DEV)/requirements.done: requirements.txt requirements-dev.txt
	rm -rf $(DEV)
	$(PYTHON) -m venv $(DEV)
	$(DEV)/bin/pip -q install -r requirements-dev.txt
	touch $@

test: $(DEV)/requirements.done
	$(DEV)/bin/python -B -m pytest

lint: $(DEV)/requirements.done
	$(DEV)/bin/ruff check .
	$(DEV)/bin/ruff format --check .
	$(DEV)/bin/mypy

check: test lint

run: build
	UMBERLEAD_CONFIG="$${UMBERLEAD_CONFIG:-deploy/objects.toml}" .venv/bin/python -B -m umberlead

clean:
	rm -rf .venv $(DEV) .pytest_cache .mypy_cache .ruff_cache
