# Tool versions. golangci-lint and buf run at a pinned version because their dependencies
# conflict with the module's own.
GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BUF      := go run github.com/bufbuild/buf/cmd/buf@v1.75.0

# Generous bound: the whole suite runs in well under a minute on 10 cores.
TEST_TIMEOUT := 8m

.PHONY: build run test e2e measure lint fmt vet generate check-generated ci

build:
	go build -o bin/ ./cmd/...

run: build
	./bin/quetzallugd dev

test:
	go test -timeout $(TEST_TIMEOUT) ./...

e2e:
	go test -timeout $(TEST_TIMEOUT) -count=1 ./test/e2e/...

# Prints the figures of docs/at-most-once.md and docs/membership.md; takes about five minutes.
measure:
	go test -count=1 -timeout $(TEST_TIMEOUT) -run Measure -v ./once -measure
	go test -count=1 -timeout $(TEST_TIMEOUT) -run Measure -v ./membership -measure

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
