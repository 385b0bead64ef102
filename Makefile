# Every target does its own set-up: missing packages, configuration, build.

BUILD ?= build

.PHONY: setup build demo test soak format lint clean

setup:
	scripts/install-packages

build: setup
	cmake --preset default > /dev/null
	cmake --build $(BUILD)

demo: build
	scripts/demo

test: build
	scripts/run-tests

soak: build
	scripts/check-open-transaction
	scripts/soak
	scripts/edge-soak 60
	scripts/edge-soak --planned 6
	scripts/soak-simulator 1000

format: setup
	scripts/check-format

lint: build
	scripts/check-lint

clean:
	rm -rf build run
