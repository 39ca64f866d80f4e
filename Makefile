.PHONY: build test demo soak proof-soak

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test

demo: build
	scripts/demo

SEED ?= 1
TIME ?= 5m

# soak runs real gateway processes under overlapping faults, with one seed after
# another from SEED, for TIME.
soak:
	go test ./soak -count=1 -timeout 0 -soak.seed=$(SEED) -soak.time=$(TIME) -ginkgo.focus 'meets its guarantees$$' -v

# proof-soak runs the proof tests with one seed after another from SEED, for TIME.
proof-soak:
	prooftest/soak $(SEED) $(TIME)
