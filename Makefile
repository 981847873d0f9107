MODULES := fleet router dispatcher control cli standin bench platform soak e2e
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))
BIN := bin

.PHONY: test build format demo bench

# Formatter, linter, vet, build, race tests with fixed seeds, short fuzzing.
test:
	bash scripts/test.sh $(PACKAGES)

build:
	mkdir -p $(BIN)
	go build -o $(BIN)/ $(addsuffix /cmd/...,$(addprefix ./,router dispatcher control cli standin bench))

format:
	go tool gofumpt -w $(MODULES)

demo: build
	bash scripts/demo.sh

bench: build
	bash scripts/bench.sh
