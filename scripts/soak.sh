#!/usr/bin/env bash
# Runs the randomised tests in rounds, each with a new seed, until the time is over. After a failure
# it prints the package, test and seed, and exits with 1.
#
# SOAK_SECONDS  time after which no new round starts (default 600)
# SOAK_SEED     seed of the first round (default: the present time)
# SOAK_CHECKS   cases of each test in each round (default 200)
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${SOAK_SECONDS:-600}
seed=${SOAK_SEED:-$(date +%s)}
checks=${SOAK_CHECKS:-200}
tests=(
	"./internal/replicator TestRandomFaults"
	"./internal/governor TestRandomFaults"
	"./internal/registrar TestRandomCommands"
	"./internal/publisher TestRandomDeltas"
	"./internal/router TestRandomFaults"
)

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for entry in "${tests[@]}"; do
	read -r package test <<<"$entry"
	go test -c -o "$folder/$(basename "$package").test" "$package"
done

start=$(date +%s)
rounds=0
echo "soak: $seconds s, first seed $seed, $checks cases a test and round"
while (($(date +%s) - start < seconds)); do
	for entry in "${tests[@]}"; do
		read -r package test <<<"$entry"
		binary=$folder/$(basename "$package").test
		if ! (cd "$package" && "$binary" -test.run "^$test\$" -test.timeout 30m -rapid.seed="$seed" -rapid.checks="$checks") >"$folder/log" 2>&1; then
			cat "$folder/log"
			echo "soak: FAILED: $package $test, seed $seed, $checks cases"
			exit 1
		fi
	done
	rounds=$((rounds + 1))
	seed=$((seed + 1))
done
echo "soak: passed: $rounds rounds of ${#tests[@]} tests with $checks cases each, seeds up to $((seed - 1)), $(($(date +%s) - start)) s"
