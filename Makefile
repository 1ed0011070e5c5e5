# Development tasks. Start with `make demo` and `make test`.
# `make lint` also fails if a name of the platform's protocol occurs outside platform/.
SEED ?= 1

.PHONY: all build demo test lint bench soak faults chaos scenarios fuzz loads generate gopls

all: lint test

build:
	go build -o bin/ ./cmd/...

# DEMO=tallapoosa (default) or DEMO=exchange
demo: build
	./scripts/demo.sh

# All tests except those in KNOWN-RED.txt; `make test KNOWN_RED=` includes them.
test:
	./scripts/test.sh

lint:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...
	./scripts/names.sh

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Long randomized tests of the guarantees, starting at SEED.
soak:
	WAGTAILYOKE_SOAK=$(SEED) go test -count=1 -timeout 60m -run 'TestSoak' -v ./core/node

# Real sidecars under random faults, for SEEDS seeds starting at SEED.
SEEDS ?= 50
faults:
	go test ./platform/soak -count=1 -timeout 60m -v -soak.seeds $(SEEDS) -soak.from $(SEED)

# Real processes while nodes are killed or frozen and the platform is down.
chaos: build
	./scripts/chaos.sh

# Overload scenarios, compared with direct calls as the baseline; results in out/.
scenarios: build
	./scripts/scenarios.sh

# Fuzzes each decoder of external input for 30 s.
fuzz:
	go test ./platform -run '^$$' -fuzz FuzzConfig -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzHeartbeat -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzStoreAnswers -fuzztime 30s
	go test ./platform -run '^$$' -fuzz FuzzPrunedAnswer -fuzztime 30s
	go test ./core/mesh -run '^$$' -fuzz FuzzGraph -fuzztime 30s
	go test ./core/once -run '^$$' -fuzz FuzzDecodeEntries -fuzztime 30s

# Prints the results for callers at multiples of the usual demand, in the simulated deployment.
loads:
	go test ./core/mesh -run LoadTable -v -loads

# Regenerates core/wire; needs protoc and the plugins named in wire.proto.
generate:
	protoc -I. --go_out=. --go_opt=module=wagtailyoke --go-drpc_out=. --go-drpc_opt=module=wagtailyoke core/wire/wire.proto

# Builds bin/gopls, for renaming identifiers. It has a separate module file because it needs
# another version of x/tools than the linter.
gopls:
	go build -modfile=.ci/gopls.mod -o bin/gopls golang.org/x/tools/gopls
