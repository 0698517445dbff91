#!/usr/bin/env bash
# Plays the deployments of the users' platform that a landing must not worsen: full scores and hunts, one
# deployment at a time. SYSTEM is the folder of the platform's pages. JOBS bounds the cores. Results go to
# out/regression, a journal entry of each run to journal/.
set -eu
cd "$(dirname "$0")/.."
: "${SYSTEM:?the folder of the platform pages}"
BENCH=${BENCH:-$SYSTEM/bin/fleetbench}
JOBS=${JOBS:-3}
WHY=${WHY:-regression run}
OUT=out/regression
mkdir -p "$OUT"

# Site files with the days that are hunted on each: 40, but 8 from 60 hosts on.
SITES="
sites/pladevaerk-search.toml 40
sites/virkesauktion-sok.toml 40
grown/pladevaerk-search-grown.toml 8
grown/virkesauktion-sok-grown.toml 8
large/pladevaerk-search-large.toml 8
demands/calverley-lists-grown.toml 8
demands/ffp-banyandock-grown.toml 8
"

echo "$SITES" | while read -r site days; do
	[ -n "$site" ] || continue
	name=$(basename "$site" .toml)
	"$BENCH" score "$SYSTEM/$site" --jobs "$JOBS" --why "$WHY" >"$OUT/$name-score.txt" 2>&1 || echo "$name: the score failed"
	"$BENCH" hunt "$SYSTEM/$site" --days "$days" --jobs "$JOBS" --why "$WHY" >"$OUT/$name-hunt.txt" 2>&1 || echo "$name: the hunt failed"
	tail -n 5 "$OUT/$name-score.txt" "$OUT/$name-hunt.txt"
done
