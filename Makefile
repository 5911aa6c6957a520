# Targets for a machine with Go and make.
GO ?= go
LINT_VERSION := v2.15.0
LINT := .tools/golangci-lint-$(LINT_VERSION)

.PHONY: build check demo format lint test test-race smoke-test fuzz measure

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

test: build
	$(GO) test ./...

check: lint test demo
