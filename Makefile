# Tool versions. golangci-lint and buf run at a pinned version because their dependencies
# conflict with the module's own.
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF      := go run github.com/bufbuild/buf/cmd/buf@v1.75.0

# Generous bound: the whole suite runs in well under a minute on 10 cores.
TEST_TIMEOUT := 8m

.PHONY: build run test e2e lint fmt vet generate check-generated e2e-faults ci bench-policy

build:
	go build -o bin/ ./cmd/...

run: build
	./bin/quetzallugd dev

test:
	go test -timeout $(TEST_TIMEOUT) ./...

e2e:
	go test -timeout $(TEST_TIMEOUT) -count=1 ./test/e2e/...

# Brings about faults in real processes under load and checks the invariants. SEED reproduces a
# schedule.
FAULT_ROUNDS ?= 33
FAULT_TIMEOUT := 60m
e2e-faults:
	go test -v -timeout $(FAULT_TIMEOUT) -count=1 -run '^TestMatrix$$' ./test/faults -rounds $(FAULT_ROUNDS) $(if $(SEED),-seed $(SEED))

# Compares the routing, admission and placement policies with baselines in virtual time and
# refreshes the table's data and plots in docs/data.
bench-policy:
	go run ./internal/policybench/cmd/policybench -data docs/data

fmt:
	go tool gofumpt -l -w $$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^gen/')

check-fmt:
	@out=$$(go tool gofumpt -l $$(git ls-files '*.go' | grep -v '^gen/')); \
	if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

vet:
	go vet ./...

lint:
	$(GOLANGCI) run ./...

generate:
	$(BUF) generate

check-generated: generate
	git diff --exit-code -- gen

ci: check-fmt vet lint check-generated test
