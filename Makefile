.PHONY: build test demo soak proof-soak

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test

demo: build
	scripts/demo

SEED ?= 1
TIME ?= 5m

# Real gateway processes under overlapping faults, one seed after another.
soak:
	go test ./soak -count=1 -timeout 0 -soak.seed=$(SEED) -soak.time=$(TIME) -ginkgo.focus 'meets its guarantees$$' -v

# The proof tests, one seed after another.
proof-soak:
	prooftest/soak $(SEED) $(TIME)
