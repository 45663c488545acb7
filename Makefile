# Targets for development. README.md lists what they need.
JOBS ?= 4
MEMORY_PLAYS = long-values slow-writers half-requests request-and-byte many-fields flood-ping \
	flood-new-customers flood-ceiling endless-lists pipelined-long unread-answers slow-crowd

.PHONY: build lab test memory late stops soak lint run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j$(JOBS)

# Builds the laboratory, which needs two libraries that the gateway program does not: CLI11 and toml++.
lab:
	cmake -B build-lab -DCMAKE_BUILD_TYPE=Release -DARROWSTILE_LAB=ON
	cmake --build build-lab -j$(JOBS) --target arrowstile-lab

test:
	cmake -B build-test -DBUILD_TESTING=ON -DARROWSTILE_LAB=ON -DARROWSTILE_STRICT=ON -DARROWSTILE_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
	cmake --build build-test -j$(JOBS)
	ctest --test-dir build-test --output-on-failure

# Plays traffic that takes up memory, and checks that the process keeps its limit. Needs a build without sanitizers.
memory: build
	for play in $(MEMORY_PLAYS); do \
		python3 tests/rehearsal/memory_bounds.py build/arrowstile $$play || exit 1; \
	done
	for limit in 32 64 192; do \
		python3 tests/rehearsal/long_answers.py build/arrowstile --memory-mb $$limit || exit 1; \
	done

# Plays connections that come up late, requests that are taken late and clients that leave, about a minute.
late: build
	for play in window left unread burst "burst --burst 3000" "burst --burst 200 --again-after 0.15"; do \
		python3 tests/rehearsal/late_connections.py build/arrowstile $$play || exit 1; \
	done

# Plays planned stops whose clients go on using their connections until the kill, about a minute and a half.
stops: build
	python3 tests/rehearsal/planned_stop.py build/arrowstile
	python3 tests/rehearsal/planned_stop.py build/arrowstile --deadline-ms 600 --seed 2

# Plays days drawn from seeds 1 to 50 against the program, about a quarter of an hour.
soak: build
	python3 tests/rehearsal/soak.py build/arrowstile --seed 1 --days 50

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')

# Runs the gateway program against the servers of examples/toy_backend.py, which end when it does.
run: build
	python3 examples/toy_backend.py & toy=$$!; trap "kill $$toy" EXIT; EDGE_CONFIG=examples/start.json build/arrowstile

clean:
	rm -rf build build-lab build-test
