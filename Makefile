# Targets for developers. "make demo" and "make test" need no preparation.
MODULES := common daemon operator platform replayer standin
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo development)
LDFLAGS := -X main.version=$(VERSION)
# The race detector itself crashes now and then on arm64 in these packages.
WITHOUT_RACE := $(if $(filter arm64,$(shell go env GOARCH)),yuccaspread/daemon/granter)
TEST_FLAGS = -count=1 $(if $(SKIP),-skip '$(SKIP)') $(if $(RUN),-run '$(RUN)')

.PHONY: build demo demo-explain measure capacity test soak soak-hosted model lint format check-format generate

build:
	go build -ldflags '$(LDFLAGS)' -o bin/yuccaspread ./daemon
	go build -ldflags '$(LDFLAGS)' -o bin/yuccactl ./operator
	go build -ldflags '$(LDFLAGS)' -o bin/yuccastandin ./standin
	go build -ldflags '$(LDFLAGS)' -o bin/yuccareplay ./replayer

demo: build
	@scripts/demo

# The demo, and why its requests go where they go.
demo-explain: build
	@scripts/demo explain

# SKIP leaves out the tests that match; RUN runs only those.
test:
	$(if $(WITHOUT_RACE),go test $(TEST_FLAGS) $(WITHOUT_RACE))
	go test -race $(TEST_FLAGS) $(filter-out $(WITHOUT_RACE),$(shell go list $(PACKAGES)))

measure: build
	@scripts/measure_path

# Checks SOAK_CHECKS random histories of claims under random faults, then all pairs
# of simultaneous faults.
SOAK_CHECKS ?= 100000
soak:
	SOAK=1 go test -count=1 -timeout=0 -run=TestHistories ./daemon/claimer -rapid.checks=$(SOAK_CHECKS)
	SOAK=1 go test -count=1 -timeout=0 -run=TestTwoFaults -v ./daemon/prover

# Runs real daemons on stand-ins of the users' platform under random faults.
SEED ?= 1
MINUTES ?= 1
soak-hosted:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$$(($(MINUTES) * 60)) go test -count=1 -timeout=0 -run=TestHostedSoak -v ./platform/prover

# Searches the full state space of every model and of every mutation, which must
# violate a property.
model:
	@scripts/check_models

# Measures all slopes of docs/CAPACITY.md and writes its tables.
capacity: build
	@scripts/capacity

lint:
	for module in $(MODULES); do (cd $$module && golangci-lint run --allow-parallel-runners ./...) || exit 1; done

format:
	for module in $(MODULES); do (cd $$module && golangci-lint fmt ./...) || exit 1; done

check-format:
	for module in $(MODULES); do (cd $$module && golangci-lint fmt --diff ./...) || exit 1; done

generate:
	protoc --proto_path=common/wire --go_out=common --go_opt=module=yuccaspread/common \
		--go-drpc_out=common --go-drpc_opt=module=yuccaspread/common common/wire/*.proto
