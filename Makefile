# Tasks of the project. `make demo` and `make test` are all that a newcomer needs.
# `make lint` also fails on a name of the platform outside platform/.
SEED ?= 1

.PHONY: all build demo test lint bench soak faults chaos scenarios fuzz loads generate gopls

all: lint test

build:
	go build -o bin/ ./cmd/...

# DEMO=tallapoosa (default) or DEMO=exchange
demo: build
	./scripts/demo.sh

# All tests but those in KNOWN-RED.txt; `make test KNOWN_RED=` runs these too.
test:
	./scripts/test.sh

lint:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	./scripts/names.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Long randomised runs of the promises, from the given seed on.
soak:
	WAGTAILYOKE_SOAK=$(SEED) go test -count=1 -timeout 60m -run 'TestSoak' -v ./core/node

# Real sidecars under random faults, SEEDS seeds from the given one on.
SEEDS ?= 50
faults:
	go test ./platform/soak -count=1 -timeout 60m -v -soak.seeds $(SEEDS) -soak.from $(SEED)

# Real processes under kill, freeze and platform outage.
chaos: build
	./scripts/chaos.sh

# The overload scenarios against the baseline; results in out/.
scenarios: build
	./scripts/scenarios.sh

# Each decoder of what others write, for a while.
fuzz:
	go test ./platform -run '^$$' -fuzz FuzzConfig -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzHeartbeat -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzStoreAnswers -fuzztime 30s
	go test ./core/mesh -run '^$$' -fuzz FuzzGraph -fuzztime 30s
	go test ./core/once -run '^$$' -fuzz FuzzDecodeEntries -fuzztime 30s

# What callers get at multiples of the usual demand, in the simulated site.
loads:
	go test ./core/mesh -run LoadTable -v -loads

# Regenerates core/wire; needs protoc and the plugins named in wire.proto.
generate:
	protoc -I. --go_out=. --go_opt=module=wagtailyoke --go-drpc_out=. --go-drpc_opt=module=wagtailyoke core/wire/wire.proto

# Builds bin/gopls, to rename identifiers. It needs another version of x/tools than the
# linter does, so it has a module file of its own.
gopls:
	go build -modfile=.ci/gopls.mod -o bin/gopls golang.org/x/tools/gopls
