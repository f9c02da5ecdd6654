# Every task of the project. CONTRIBUTING.md starts from here.
SEED ?= 1
BIN := bin

.PHONY: setup build test crowd lint format generate bench trial random soak fuzz modelcheck ci

setup: ## Download the modules and build the project's tools.
	go mod download
	cd tools && go build -o ../$(BIN)/ tool

build: ## Build the program.
	go build -o $(BIN)/hazelslip .

# Packages with tests in virtual time. The race detector's runtime crashes now and then when a goroutine of a
# bubble reads a timer that has expired while others fire, on two processors at once (Go 1.26.8). So these tests
# run with the detector on one processor, and without it on all.
VIRTUAL = $(sort $(shell go list -test -f '{{$$p := .ForTest}}{{range .Deps}}{{if eq . "testing/synctest"}}{{$$p}} {{end}}{{end}}' ./...))
# Tests of misbehaving clients measure the memory of processes, so they run alone and without the detector.
CROWD = hazelslip/internal/run/crowd
RUN_TESTS = HAZELSLIP_SEED=$(SEED) go test -count=1 $(if $(SKIP),-skip '$(SKIP)')

test: ## Run every test with fixed seeds and the race detector; those in virtual time without it, too.
	$(RUN_TESTS) -race $(filter-out $(VIRTUAL) $(CROWD),$(shell go list ./...))
	$(RUN_TESTS) -race -cpu 1 -timeout 20m $(VIRTUAL)
	$(RUN_TESTS) $(VIRTUAL)
	$(RUN_TESTS) -timeout 20m $(CROWD)

crowd: ## Processes under clients that break the limits of HTTP or of the operator; run nothing else beside it.
	$(RUN_TESTS) -timeout 20m -v $(CROWD)

lint: ## Check format and style.
	$(BIN)/golangci-lint run ./...

format: ## Format the sources.
	$(BIN)/golangci-lint fmt ./...

generate: ## Generate the protobuf code; needs protoc.
	PATH="$(CURDIR)/$(BIN):$$PATH" protoc -I. --go_out=. --go_opt=module=hazelslip \
		internal/wire/record/record.proto internal/wire/exchange/exchange.proto internal/wire/frame/frame.proto

ci: ## What CI runs.
	bash .ci/run

bench: ## Benchmarks; compare the figures of one run only.
	go test -run '^$$' -bench . -benchtime 2s ./internal/policy/route ./internal/run/node ./internal/serve/inbound
	go test -run '^$$' -bench . -benchtime 1x ./internal/policy/repair

trial: build ## Targets under surges and faults beside simpler rules; some 15 minutes.
	$(BIN)/hazelslip trial

ROUNDS ?= 200
random: ## Long random runs with a free seed, which is printed.
	@seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d ' '); echo "HAZELSLIP_SEED=$$seed"; \
	HAZELSLIP_SEED=$$seed HAZELSLIP_ROUNDS=$(ROUNDS) go test -count=1 -timeout 2h -run 'Random' ./internal/state/booking ./internal/run/node ./platform/standin ./internal/fleet/formation

DEPTH ?= 4
modelcheck: ## Every schedule of DEPTH faults against the real keepers of terms and formers; prints counts and counter-examples.
	HAZELSLIP_DEPTH=$(DEPTH) go test -count=1 -timeout 2h -v -run TestNoScheduleBreaksWhatMustHold ./internal/fleet/formation | grep -v -e '--- PASS' -e '=== '

SEEDS ?= 1
SOAK_SEED = $(if $(filter command environment,$(firstword $(origin SEED))),$(SEED),$(shell od -An -N3 -tu4 /dev/urandom))
soak: build ## Processes under faults; SEED=n plays a plan again, SEEDS=n so many, from that on.
	$(BIN)/hazelslip soak --seed $(SOAK_SEED) --seeds $(SEEDS) --length 30s

FUZZTIME ?= 30s
FUZZ := ./internal/serve/inbound:FuzzConnection ./internal/peer/caller:FuzzParseChat ./internal/peer/engine:FuzzParsePiece ./internal/peer/node:FuzzReceive \
	./internal/state/stream:FuzzFolds ./internal/state/booking:FuzzTicketIssuer ./internal/run/settings:FuzzParse \
	./platform:FuzzDecodeRecords ./platform:FuzzDecodeEntries ./platform:FuzzParseSettings ./platform:FuzzDecodeLimit ./platform:FuzzDecodeSaid
fuzz: ## Fuzz everything that decodes bytes from outside.
	@set -e; for target in $(FUZZ); do \
		go test -run '^$$' -fuzz "^$${target##*:}$$" -fuzztime $(FUZZTIME) "$${target%%:*}"; \
	done
