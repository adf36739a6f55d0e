# Every target makes its own virtual environment from the locked versions.
VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
SEED ?= 1

.PHONY: demo test check format bench soak mutants slopes experiment golden clean

$(STAMP): requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.txt
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

demo: $(STAMP)
	bash examples/demo.sh $(VENV)/bin

test: $(STAMP)
	$(PY) -m tests.known_red

check: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

format: $(STAMP)
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

bench: $(STAMP)
	bash examples/bench.sh $(VENV)/bin

soak: $(STAMP)
	$(VENV)/bin/sequoiawind-load soak --seed $(SEED)

mutants: $(STAMP)
	$(VENV)/bin/sequoiawind-load mutants

slopes: $(STAMP)
	$(VENV)/bin/sequoiawind-load slopes

experiment: $(STAMP)
	$(VENV)/bin/sequoiawind-load experiment --out docs/measurements

golden: $(STAMP)
	UPDATE_GOLDEN=1 $(PY) -m pytest tests/test_golden.py

clean:
	rm -rf $(VENV) build *.egg-info
