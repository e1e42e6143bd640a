# Targets for developers and CI. A fresh clone builds with Go, a C compiler and make.

GO ?= go
BIN := bin
TOOLS := .bin

.PHONY: all build test lint fmt generate rename-tool demo bench capacity clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# test runs all tests except those named in KNOWN-RED.txt, and prints that file.
test:
	bash scripts/test.sh

lint: $(TOOLS)/staticcheck
	bash scripts/lint.sh $(TOOLS)/staticcheck

fmt:
	gofmt -w $$(git ls-files '*.go')

# The versions of the generators and the linter are pinned in the module tools/, separate from the main module.
$(TOOLS)/%: tools/go.mod tools/go.sum
	mkdir -p $(TOOLS)
	$(GO) -C tools build -o ../$(TOOLS)/$* $$(cd tools && $(GO) list -f '{{.ImportPath}}' tool | grep '/$*$$')

# gopls renames an identifier with every use: .bin/gopls rename -w FILE:LINE:COLUMN NEWNAME. It needs another
# golang.org/x/tools than the generators, so it is pinned here and not in the module tools/.
GOPLS_VERSION := v0.23.0
rename-tool: $(TOOLS)/gopls

$(TOOLS)/gopls: Makefile
	GOBIN="$(CURDIR)/$(TOOLS)" $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

generate: $(TOOLS)/buf $(TOOLS)/protoc-gen-go $(TOOLS)/protoc-gen-connect-go $(TOOLS)/wire
	cd api && PATH="$(CURDIR)/$(TOOLS):$$PATH" buf lint && PATH="$(CURDIR)/$(TOOLS):$$PATH" buf generate
	$(TOOLS)/wire ./cmd/...

demo: build
	bash scripts/demo.sh

bench: build
	bash scripts/bench.sh

capacity: build
	bash scripts/capacity.sh

clean:
	rm -rf $(BIN) $(TOOLS)
