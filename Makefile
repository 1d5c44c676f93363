MODULES := $(shell go list -m -f '{{.Dir}}')
PROGRAMS := $(filter-out $(CURDIR),$(MODULES))
KNOWN_RED := $(shell sed -n 's/^test: *\([^ ]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$',)
RACE ?= -race

FUZZ_TIME ?= 20s

.PHONY: build fuzz demo faults test format size lint unit known-red soak faultsoak measure bench mutants slopes scores

build:
	@mkdir -p bin
	@go build ./...
	@for module in $(PROGRAMS); do (cd $$module && go build -o $(CURDIR)/bin/ .) || exit 1; done

DEPLOYMENT ?= karotsaki
KEEP ?=

demo: build
	@bin/demo -deployment $(DEPLOYMENT) $(if $(KEEP),-keep)

faults: build
	@bin/demo -deployment $(DEPLOYMENT) -faults

bench: build
	@bin/bench

test: format size lint unit known-red

format:
	@unformatted=$$(gofmt -l .); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }

# MAX_FILE_BYTES limits the size of a committed file; only the journal of the users' bench may have larger ones.
MAX_FILE_BYTES := 1000000

size:
	@large=$$(git ls-files -z -- . ':!journal' | xargs -0 stat -c '%s %n' | awk '$$1 > $(MAX_FILE_BYTES)'); \
		test -z "$$large" || { echo "too large to be committed: $$large"; exit 1; }

lint:
	@for module in $(MODULES); do \
		(cd $$module && go vet ./... && go tool staticcheck ./...) || exit 1; \
	done

unit:
	@for module in $(MODULES); do (cd $$module && go test $(RACE) $(SKIP) ./...) || exit 1; done

known-red:
	@if grep -q '^test:' KNOWN-RED.txt; then echo "known red:"; cat KNOWN-RED.txt; fi

SEED ?= 1
STEPS ?= 4000

# soak runs one seed, or with SEEDS="1 2 3" several.
SEEDS ?= $(SEED)
soak:
	@cd trials/soak && go build -o $(CURDIR)/bin/soak .
	@for seed in $(SEEDS); do bin/soak -seed $$seed -steps $(STEPS) || exit 1; done

# faultsoak runs PLAYS consecutive seeds from SEED on with real processes, with DRILLS restores of the store in each: make faultsoak SEED=1 PLAYS=50
PLAYS ?= 1
DRILLS ?= 0
faultsoak: build
	@bin/faultsoak -seed $(SEED) -seeds $(PLAYS) -drills $(DRILLS)

# measure runs the experiments on the request path and draws charts of the results under out/.
measure:
	@cd trials/measure && go build -o $(CURDIR)/bin/measure .
	@bin/measure -seed $(SEED) -out out

# scores shows the worth of a site's standard days over the scores in the journal of the users' bench (not the target bench), and draws it under out/.
SITE ?= karotsaki-mesh-large
scores:
	@cd trials/measure && go build -o $(CURDIR)/bin/measure .
	@bin/measure -journal journal -site $(SITE) -out out

# mutants builds the soak once for each planted fault, and fails if one of the faults is detected by none of the seeds from 1 to MUTANT_SEEDS.
MUTANT_SEEDS ?= 36
mutants:
	@cd trials/soak && go build -o $(CURDIR)/bin/soak . && $(CURDIR)/bin/soak -mutants $(MUTANT_SEEDS) -steps 250

# slopes measures the CPU time, memory and message sizes of the control code for growing numbers of members, shards, groups and tenants.
slopes:
	@cd trials/slopes && go build -o $(CURDIR)/bin/slopes . && $(CURDIR)/bin/slopes

# fuzz runs each fuzz target for FUZZ_TIME: make fuzz FUZZ_TIME=2m. The tests run the seeds of the targets only.
fuzz:
	@for module in $(MODULES); do (cd $$module && \
		grep -rl --include='*_test.go' '^func Fuzz' . | xargs -r -n1 dirname | sort -u | while read folder; do \
			grep -ho '^func Fuzz[A-Za-z0-9_]*' $$folder/*_test.go | cut -d' ' -f2 | while read target; do \
				echo "$$folder $$target"; go test -run '^$$' -fuzz "^$$target\$$" -fuzztime $(FUZZ_TIME) $$folder || exit 1; \
			done || exit 1; \
		done) || exit 1; done
