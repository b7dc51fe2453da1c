# Build, test and benchmark targets. README.md describes them.

MODULES := . ./cmd/zinniabench ./cmd/zinniactl ./cmd/zinniasoak ./cmd/zinniastand ./cmd/zinniatide
PACKAGES := ./... $(foreach m,$(filter-out .,$(MODULES)),$(m)/...)
GOBIN := $(shell go env GOPATH)/bin
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(GOBIN)/golangci-lint
SEED ?= 1
SCENARIO ?=
export CGO_ENABLED := 1

.PHONY: build test race lint model bench demo soak clean

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/zinniatide ./cmd/zinniactl ./cmd/zinniastand ./cmd/zinniabench ./cmd/zinniasoak

# The tests of hostile clients measure the memory of processes, so they run alone.
test:
	@status=0; go test -count=1 -timeout 9m $$(go list $(PACKAGES) | grep -v '/zinniasoak/bounds$$') || status=1; \
	go test -count=1 -timeout 9m ./cmd/zinniasoak/bounds || status=1; exit $$status

race:
	go test -race -count=1 -timeout 30m $(PACKAGES)

$(GOLANGCI):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(GOLANGCI)
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && $(GOLANGCI) run ./...) || exit 1; done

model:
	@./scripts/model

bench: build
	@./scripts/bench $(SCENARIO)

demo: build
	@SEED=$(SEED) ./scripts/demo

soak: build
	@bin/zinniasoak --seed $(SEED)

clean:
	rm -rf bin out
