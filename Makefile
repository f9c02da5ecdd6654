# Every task of the project. CONTRIBUTING.md starts from here.
SEED ?= 1
BIN := bin

.PHONY: setup build test lint format generate bench soak capacity ci

setup: ## Download the modules and build the project's tools.
	go mod download
	cd tools && go build -o ../$(BIN)/ tool

build: ## Build the program.
	go build -o $(BIN)/hazelslip .

test: ## Run every test with the race detector and fixed seeds.
	go test -race -count=1 ./... -args -ginkgo.seed=$(SEED)

lint: ## Check format and style.
	$(BIN)/golangci-lint run ./...

format: ## Format the sources.
	$(BIN)/golangci-lint fmt ./...

generate: ## Generate the protobuf code; needs protoc.
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc -I. --go_out=. --go_opt=module=hazelslip \
		internal/wire/record/record.proto internal/wire/exchange/exchange.proto

ci: ## What CI runs.
	bash .ci/run

capacity: build ## Measure what control costs; write docs/CAPACITY.md.
	$(BIN)/hazelslip capacity --write docs/CAPACITY.md
