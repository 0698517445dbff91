#!/usr/bin/env bash
# Runs each fuzz test of the project for the given time (default 20s).
set -euo pipefail
cd "$(dirname "$0")/.."
time=${1:-20s}
git grep -l '^func Fuzz' -- '*_test.go' | while read -r file; do
	for test in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file"); do
		echo "== $(dirname "$file") $test"
		(cd "$(dirname "$file")" && go test -run '^$' -fuzz "^$test\$" -fuzztime "$time" .) </dev/null
	done
done
