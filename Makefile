.PHONY: build test demo soak

build:
	go build -o bin/ ./cmd/...

test:
	go test -count=1 ./...

demo: build
	scripts/demo

SEED ?= 1
TIME ?= 5m

soak:
	prooftest/soak $(SEED) $(TIME)
