# The usual commands; meson does the work. SEED and CASE go to proofs and
# benches: make proof SEED=7 CASE=memory
BUILD ?= build
SEED ?=
CASE ?=

.PHONY: all setup build check demo proof bench bench-events bench-path days slopes lint format \
	sanitize fuzz clean

all: build

setup:
	@tools/setup

build: setup
	@[ -d $(BUILD) ] || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) --quiet

check: build
	@meson test -C $(BUILD) --print-errorlogs

demo: build
	@tests/demo/run $(BUILD)
	@tests/demo/front $(BUILD)

proof: build
	@tests/proof/run --build $(BUILD) $(if $(SEED),--seed $(SEED)) \
		$(if $(CASE),--case $(CASE))

bench: build
	@bench/run $(BUILD) $(SEED)

bench-events: build
	@bench/events/run $(BUILD)

bench-path: build
	@bench/path/run $(BUILD)

# make days SEED=101 COUNT=1000
COUNT ?= 20
days: build
	@bench/days/run --build $(BUILD) --seed $(or $(SEED),1) --count $(COUNT)

slopes: build
	@bench/slopes/run $(BUILD)

lint: build
	@tools/lint $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.c' '*.h' | grep -v /gen/ | \
		xargs clang-format -i

sanitize: setup
	@[ -d $(BUILD)-asan ] || meson setup $(BUILD)-asan \
		-Db_sanitize=address,undefined -Db_lundef=false >/dev/null
	@ninja -C $(BUILD)-asan --quiet
	@meson test -C $(BUILD)-asan --print-errorlogs

fuzz: setup
	@[ -d $(BUILD)-fuzz ] || CC=clang meson setup $(BUILD)-fuzz -Dfuzz=true \
		-Db_sanitize=address,undefined -Db_lundef=false \
		-Dc_args=-fsanitize=fuzzer-no-link >/dev/null
	@ninja -C $(BUILD)-fuzz --quiet
	@meson test -C $(BUILD)-fuzz --suite fuzz --print-errorlogs

clean:
	rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-fuzz
