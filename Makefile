SHELL := bash
GOLANGCI_VERSION := v2.15.0
BIN := $(CURDIR)/.bin

.PHONY: demo test bench soak lint fmt build generate

# Builds the daemon, the client and the test programs into bin/.
build:
	go build -o bin/ ./cmd/... ./test/... ./platform/soak/...

# Runs a small system of separate processes on loopback and checks both answers.
demo: build
	bin/demo

# SKIP leaves tests out by a pattern, as go test -skip does.
test:
	go vet ./...
	go test -race -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./...

# Prints each figure as one JSON line; NAME selects one.
bench: build
	bin/bench $(if $(NAME),--name $(NAME))

# Runs entry hosts under random faults; SEED and COUNT select the runs, which take 45 s each.
soak: build
	bin/entrysoak run $(if $(SEED),--seed $(SEED)) $(if $(COUNT),--count $(COUNT))

$(BIN)/golangci-lint:
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt --diff
	$(BIN)/golangci-lint run ./...

fmt: $(BIN)/golangci-lint
	$(BIN)/golangci-lint fmt

# Needs protobuf-compiler; the generated code is committed, so that a build does not.
generate:
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(BIN) go install storj.io/drpc/cmd/protoc-gen-go-drpc@v1.1.0
	cd internal/peer/hostpb && PATH=$(BIN):$$PATH protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. host.proto
