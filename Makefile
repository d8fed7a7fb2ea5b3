# Targets for developers and CI. `make help` lists them.
SHELL := /bin/bash
GO ?= go
LINT_VERSION := v2.15.0
GOBIN_DIR := $(shell $(GO) env GOPATH)/bin
LINT := $(GOBIN_DIR)/golangci-lint
GOPLS_VERSION := v0.23.0

.PHONY: help build fmt lint tools test up down demo bench overhead reads surge slopes matrix soak review

help: ## Lists the targets.
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/'

build: ## Builds the programs into bin/.
	@mkdir -p bin
	$(GO) build -o bin/snipewall .
	$(GO) build -o bin/standin ./stand
	$(GO) build -o bin/bench ./bench

fmt: ## Fails if a file is not formatted.
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

tools: ## Installs the pinned linter and gopls (used to rename identifiers) if they are missing.
	@$(LINT) version 2>/dev/null | grep -q '$(LINT_VERSION:v%=%)' || \
		$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	@$(GOBIN_DIR)/gopls version 2>/dev/null | grep -q '$(GOPLS_VERSION)' || \
		$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools ## Runs the linter.
	$(LINT) run ./...

test: ## Runs all tests except those listed in KNOWN-RED.txt.
	@scripts/test.sh

DEPLOYMENT ?= gulf-berth

up: build ## Starts a deployment of examples/ on loopback in the background (DEPLOYMENT=gulf-berth).
	@scripts/up.sh $(DEPLOYMENT)

down: ## Stops the deployment that `make up` started.
	@scripts/down.sh $(DEPLOYMENT)

demo: build ## Shows a session that moves between entry VMs, and a failover, in under a minute.
	@scripts/demo.sh

bench: overhead reads surge ## Runs the targets overhead, reads and surge, in under five minutes.

overhead: build ## Measures the overhead of snipewall for a simple statement.
	@scripts/overhead.sh

reads: build ## Measures the fraction of reads served by replicas at several replication lags.
	@scripts/reads.sh

surge: build ## Compares the schedulers of the admission queue under load surges, by rank.
	@bin/bench surge

slopes: build ## Runs the measurements that docs/CAPACITY.md is based on.
	@scripts/slopes.sh

matrix: ## Runs the fault matrix and prints one line per cell.
	$(GO) test -count=1 -v ./matrix | grep -vE '^ *(---|===)'

SEED ?= 0
FOR ?= 1m

soak: ## Runs the soaks of real processes under random faults (SEED=n FOR=2m; SEED=0 picks a random seed).
	$(GO) test -count=1 -v -timeout 1h ./platform -run 'Soak$$' -soak.seed $(SEED) -soak.for $(FOR) | grep -v '"Msg"'

review: ## Plays the cases of the reviews with and without their disruptions (RUNS=5, SEEDS=12, CASES="6 7").
	@scripts/review.sh
