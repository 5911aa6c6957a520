# Targets for a machine with Go and make.
GO ?= go
LINT_VERSION := v2.15.0
LINT := .tools/golangci-lint-$(LINT_VERSION)

.PHONY: build check demo format fuzz idle latency lint measure slopes smoke-test soak test

build:
	$(GO) build -o bin/coltsfootspoke .
	$(GO) build -o bin/standin ./internal/cmds/standin
	$(GO) build -o bin/demo ./internal/cmds/demo
	$(GO) build -o bin/slope ./internal/cmds/slope

# Runs the whole path once, from operator to usage report.
demo: build
	sh scripts/demo.sh

smoke-test: demo

format:
	$(GO) tool gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

$(LINT):
	mkdir -p .tools
	GOBIN=$(CURDIR)/.tools $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv .tools/golangci-lint $(LINT)

lint: $(LINT)
	$(LINT) run ./...

# Tests of KNOWN-RED.txt run apart, and their failure is only shown.
KNOWN_RED := $(shell sed -n 's/^go: \([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd '|' -)
# Tests that measure the memory of processes, or of their own, run one at a time.
ALONE := TestCrowd|TestLargestBody|TestStreamsWithoutEndTake|TestAnswersWithoutEndTake
ALONE_PACKAGES := ./platform ./internal/e2e ./internal/upstream

test: build
	$(GO) test -skip '^($(ALONE)$(if $(KNOWN_RED),|($(KNOWN_RED))$$))' ./...
	$(GO) test -count=1 -p 1 -timeout 20m -run '^($(ALONE))' $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') $(ALONE_PACKAGES)
ifneq ($(KNOWN_RED),)
	-$(GO) test -count=1 -p 1 -timeout 20m -run '^($(KNOWN_RED))$$' ./... | grep -v 'no test'
endif

# Runs real processes under faults; docs/developer/soak.md tells how to read it.
SEED ?= 1
SECONDS ?= 15
soak: build
	$(GO) test ./internal/e2e -count=1 -v -timeout 20m -run '^TestSoak$$' -soak.seed=$(SEED) -soak.seconds=$(SECONDS) -soak.bounds
	$(GO) test ./platform -count=1 -v -timeout 20m -run '^TestSoak$$' -soak.seed=$(SEED) -soak.seconds=$(SECONDS) -soak.bounds -soak.logs=$(CURDIR)/target/soak.log

# Compares calls through an entry and an agent with direct calls.
latency: build
	sh scripts/demo.sh latency

# Measures the daemons without traffic.
idle: build
	sh scripts/demo.sh idle

# Compares the decision cores with plain baselines.
measure:
	$(GO) run ./internal/cmds/measure

# Measures what control spends on agents, at four sizes.
slopes: build
	for n in 50 100 200 340; do scripts/slopes.sh $$n || exit 1; done

# Runs each fuzz target for a short time.
fuzz:
	$(GO) test ./internal/disk -run '^$$' -fuzz FuzzDecodeRecords -fuzztime 20s
	$(GO) test ./internal/language -run '^$$' -fuzz FuzzParse -fuzztime 20s
	$(GO) test ./internal/settings -run '^$$' -fuzz FuzzLoad -fuzztime 20s
	$(GO) test ./platform -run '^$$' -fuzz FuzzAnnouncement -fuzztime 20s

check: lint test demo
