#!/usr/bin/env bash
# Measures banyandock against entry hosts that fan out directly (the baseline), on
# stand-in backend servers of the same settings.
#
#   scripts/bench.sh           query path with 20 shards of 2 servers each, at several loads
#   scripts/bench.sh quick     the same at a single load
#   scripts/bench.sh fanout    latency against the number of shards
#   scripts/bench.sh canary    request bodies that were not sent before
#   scripts/bench.sh faults    faults under load; fails if an answer breaks a guarantee
#
# A cell is one measurement: one side under one load. CELL_TIME sets its measured time, SIDES the
# sides to run and MEAN_TIME_MS the mean service time. A shorter service time uses more processor
# time of this machine for the same utilization of the servers.
set -euo pipefail
cd "$(dirname "$0")/.."

experiment=${1:-path}
cell_time=${CELL_TIME:-18s}
mean_time_ms=${MEAN_TIME_MS:-20}
sides=${SIDES:-direct banyandock}

out=$PWD/out/bench/$experiment
bin=$PWD/bin
rm -rf "$out"
mkdir -p "$out"
source scripts/processes.sh

hosts=16
control_address=127.3.250.1:7900
searcher_slots=2
replicas=2
# 1% of the subrequests take ten times as long, so that the mean is 1.09 times the service time.
service_time=$((mean_time_ms * 1000000 / 1090))us
capacity_per_server=$((searcher_slots * 1000 / mean_time_ms)) # subrequests/s

# Time in s from the start of a cell to its action, which begins 2 s after the warm-up.
action_after_s=6

failed=0
finish() {
	local code=$?
	trap - EXIT
	stop_started || failed=1
	if ((code != 0 || failed != 0)); then
		echo "bench: FAILED, logs are in out/bench/$experiment" >&2
		exit 1
	fi
	echo "bench: results are in out/bench/$experiment"
}
trap finish EXIT
trap 'exit 130' INT TERM

# dock_address N PORT prints an address of the Nth dock, counted from 0. Consecutive docks are in
# different failure domains.
dock_address() {
	echo "127.3.$(($1 % 3 + 1)).$(($1 / 3 + 1)):$2"
}

# entry_address SIDE N prints the address at which the Nth entry host of a side accepts queries.
entry_address() {
	if [ "$1" = direct ]; then
		echo "127.4.1.$(($2 + 1)):7200"
	else
		dock_address "$2" 7200
	fi
}

# entry_addresses SIDE prints all entry addresses of a side as a TOML list.
entry_addresses() {
	local i separator=""
	printf '['
	for ((i = 0; i < hosts; i++)); do
		printf '%s"%s"' "$separator" "$(entry_address "$1" $i)"
		separator=", "
	done
	printf ']'
}

write_server_settings() {
	local side=$1 shards=$2
	cat >"$out/servers.toml" <<-TOML
		control = "$control_address"
		seed = 1
		announce_to = $(entry_addresses "$side")

		[[service]]
		name = "pressroom_desk"
		domains = ["one", "two", "three"]
		first_address = "127.5.1.1"
		instances = $shards
		servers_per_instance = $replicas
		replicas = $replicas
		shards = $shards
		slots = $searcher_slots
		connections = 55
		connection_cost = "6ms"
		service_time = "$service_time"
		spread = 0.5
		slow_share = 0.01
		slow_factor = 10
		one_way_delay = "500us"
		crash_marker = "crash_the_server"
	TOML
}

write_load_settings() {
	local side=$1 name=$2 bodies=$3
	shift 3
	{
		cat <<-TOML
			seed = 7
			docks = $(entry_addresses "$side")
			controls = ["$control_address"]
			service = "pressroom_desk"
			rate = 1
			warm_up = "4s"
			duration = "$cell_time"
			bodies = $bodies
		TOML
		printf '%s\n' "$@"
	} >"$out/$name.toml"
}

print_class() {
	printf '[[class]]\nname = "%s"\ncaller = "%s"\noperation = "%s"\nshare = %s\ntimeout = "1s"\n' "$@"
}

start_direct() {
	cat >"$out/baseline.toml" <<-TOML
		seed = 3
		first_address = "127.4.1.1"
		port = 7200
		hosts = $hosts
		retries = 1
	TOML
	start baseline "$bin/standin" baseline --settings "$out/baseline.toml"
}

keeper_list='[[keeper]]
name = "keeper-0"
address = "127.3.1.1:7400"

[[keeper]]
name = "keeper-1"
address = "127.3.2.1:7400"

[[keeper]]
name = "keeper-2"
address = "127.3.3.1:7400"'

print_contract() {
	cat <<-TOML

		[[contract]]
		caller = "$1"
		service = "pressroom_desk"
		operation = "$2"
		urgency = "$3"
		idempotent = true
		merge = "top_k"
		row_limit = 10
		deadline = "1s"
		rate_per_second = 100000
		concurrency = 1000
		minimum_coverage = 0.9
		canary = "$4"
	TOML
}

print_keyed_contract() {
	cat <<-TOML

		[[contract]]
		caller = "press_hall"
		service = "pressroom_desk"
		operation = "reorder"
		urgency = "urgent"
		idempotent = false
		scope = "one"
		merge = "concatenate"
		deadline = "2s"
		rate_per_second = 1000
		concurrency = 1000
		minimum_coverage = 1.0
	TOML
}

write_manifest() {
	{
		echo "number = 1"
		print_contract press_hall lookup urgent always
		print_contract prepress_desk search routine always
		print_contract press_hall fresh_lookup urgent never
		print_contract prepress_desk fresh_search routine never
		print_keyed_contract
	} >"$out/manifest.toml"
}

write_dock_settings() {
	local i=$1
	cat >"$out/dock-$i.toml" <<-TOML
		host = "dock-$i"
		domain = "domain-$((i % 3 + 1))"
		region = "region"
		link_address = "$(dock_address "$i" 7100)"
		caller_address = "$(dock_address "$i" 7200)"
		operator_address = "$(dock_address "$i" 7300)"
		log_level = "warn"
		keepers = ["127.3.1.1:7400", "127.3.2.1:7400", "127.3.3.1:7400"]
	TOML
}

write_keeper_settings() {
	local i=$1
	cat >"$out/keeper-$i.toml" <<-TOML
		host = "keeper-$i"
		domain = "domain-$((i + 1))"
		region = "region"
		link_address = "127.3.$((i + 1)).1:7400"
		operator_address = "127.3.$((i + 1)).1:7500"
		log_level = "warn"
		data_folder = "$out/keeper-$i-data"

		$keeper_list
	TOML
}

start_banyandock() {
	local i ready=()
	write_manifest
	for ((i = 0; i < 3; i++)); do
		write_keeper_settings $i
		start "keeper-$i" "$bin/keeper" --settings "$out/keeper-$i.toml"
	done
	for ((i = 0; i < hosts; i++)); do
		write_dock_settings $i
		start "dock-$i" "$bin/dock" --settings "$out/dock-$i.toml"
		ready+=("$(dock_address $i 7300)")
	done
	"$bin/dockctl" submit --keepers 127.3.1.1:7400,127.3.2.1:7400,127.3.3.1:7400 --timeout 60s "$out/manifest.toml" >"$out/submit.log"
	"$bin/standin" await --timeout 60s "${ready[@]}"
}

# start_side SIDE SHARDS starts a side and its backend servers, and writes the load generator's
# settings.
start_side() {
	write_server_settings "$1" "$2"
	start_"$1"
	start "servers" "$bin/standin" serve --settings "$out/servers.toml"
	"$bin/standin" await "$control_address"
	sleep 2
	report_idle "$1"
	check_running
	write_load_settings "$1" mixed 500 "$(print_class urgent press_hall lookup 0.3)" "$(print_class routine prepress_desk search 0.7)"
	write_load_settings "$1" urgent 500 "$(print_class urgent press_hall lookup 1)"
	write_load_settings "$1" fresh 0 "$(print_class urgent press_hall lookup 0.3)" "$(print_class routine prepress_desk search 0.7)"
	write_load_settings "$1" fresh_no_canary 0 "$(print_class urgent press_hall fresh_lookup 0.3)" "$(print_class routine prepress_desk fresh_search 0.7)"
}

# measure_cell SIDE NAME SETTINGS PERCENT [ACTION...] measures a side under a load of PERCENT of the
# servers' capacity, and runs the action during the load.
measure_cell() {
	local side=$1 name=$2 settings=$3 rate=$(($4 * capacity_per_server * replicas / 100))
	shift 4
	local log="$out/$side-${name//[ %]/_}.txt" entries_before servers_before load_id
	entries_before=$(entry_processor_time "$side")
	servers_before=$(processor_time servers)
	"$bin/standin" load --settings "$out/$settings.toml" --side "$side" --cell "$name" --rate "$rate" \
		--csv "$out/results.csv" --log-level warn >"$log" 2>&1 &
	load_id=$!
	if (($# > 0)); then
		sleep "$action_after_s"
		"$@"
	fi
	wait "$load_id" || {
		echo "cell $name of $side failed:" >&2
		tail -n 5 "$log" >&2
		failed=1
	}
	echo "$side $name: $rate queries/s; processor time of entry hosts $(($(entry_processor_time "$side") - entries_before)) ms, of servers $(($(processor_time servers) - servers_before)) ms; load average $(cut -d' ' -f1 /proc/loadavg)"
	grep -h -E "^servers:|^a slot|VIOLATION|with code" "$log" | sed 's/^/  /'
	check_running
}

# entry_processor_time SIDE prints the processor time of a side's entry hosts in ms.
entry_processor_time() {
	if [ "$1" = direct ]; then
		processor_time baseline
	else
		processor_time dock-
	fi
}

# report_idle SIDE prints the processor time that entry hosts and keepers use without queries.
report_idle() {
	local seconds=5 entries_before keepers_before
	entries_before=$(entry_processor_time "$1")
	keepers_before=$(processor_time keeper)
	sleep $seconds
	echo "$1 idle: processor time of $hosts entry hosts $((($(entry_processor_time "$1") - entries_before) / seconds)) ms/s, of keepers $((($(processor_time keeper) - keepers_before) / seconds)) ms/s"
}

# set_faults BODY sets the faults that backend servers simulate.
set_faults() {
	"$bin/standin" post --control "$control_address" /v1/faults "$1" >>"$out/faults.log"
}

no_faults='{"select":{},"faults":{}}'
one_slow_server='{"select":{"positions":[0],"replicas":[0]},"faults":{"slowdown":3}}'

run_path() {
	local side percent
	for side in $sides; do
		start_side "$side" 20
		for percent in 60 75 85; do
			measure_cell "$side" "$percent%" mixed $percent
		done
		set_faults "$one_slow_server"
		for percent in 60 75 85; do
			measure_cell "$side" "slow $percent%" mixed $percent
		done
		set_faults "$no_faults"
		measure_cell "$side" "100%" mixed 100
		measure_cell "$side" "150%" mixed 150
		# The flood adds routine queries. The rate of urgent queries stays the same.
		measure_cell "$side" "urgent 30%" urgent 30
		write_load_settings "$side" flood 500 "$(print_class urgent press_hall lookup 30)" "$(print_class routine prepress_desk search 120)"
		measure_cell "$side" "with flood" flood 150
		stop_started || failed=1
	done
}

# run_quick measures a single load.
run_quick() {
	local side
	for side in $sides; do
		start_side "$side" 20
		measure_cell "$side" "60%" mixed 60
		stop_started || failed=1
	done
}

run_fanout() {
	local side shards
	# The load on each server is low and the same, so that only the fan-out differs.
	for side in $sides; do
		for shards in 20 40 80 160; do
			start_side "$side" $shards
			measure_cell "$side" "$shards shards" urgent 10
			stop_started || failed=1
		done
	done
}

run_canary() {
	local side
	for side in $sides; do
		start_side "$side" 20
		measure_cell "$side" "known bodies" mixed 60
		measure_cell "$side" "new bodies" fresh 60
		if [ "$side" = banyandock ]; then
			measure_cell "$side" "new, no canary" fresh_no_canary 60
		fi
		stop_started || failed=1
	done
}

# post_control PATH BODY sends a request to the control address of the servers.
post_control() {
	"$bin/standin" post --control "$control_address" "$1" "$2" >>"$out/control.log"
}

switch_version() {
	post_control /v1/versions '{"select":{"replicas":[0]},"add":2,"shard_count":20}'
	sleep 1
	post_control /v1/versions '{"select":{"replicas":[1]},"add":2,"shard_count":20}'
	sleep 2
	post_control /v1/versions '{"select":{"replicas":[0]},"remove":1}'
	sleep 1
	post_control /v1/versions '{"select":{"replicas":[1]},"remove":1}'
}

# repartition adds a version with half as many shards and then one with the original number.
repartition() {
	post_control /v1/versions '{"select":{},"add":3,"shard_count":10}'
	sleep 2
	post_control /v1/versions '{"select":{},"remove":2}'
	sleep 1
	post_control /v1/versions '{"select":{},"add":4,"shard_count":20}'
	sleep 2
	post_control /v1/versions '{"select":{},"remove":3}'
}

drain_replicas() {
	post_control /v1/drain '{"select":{"positions":[0,1,2,3,4],"replicas":[0]},"draining":true}'
	sleep 6
	post_control /v1/drain '{"select":{},"draining":false}'
}

lose_replicas() {
	post_control /v1/faults '{"select":{"positions":[0,1,2,3,4],"replicas":[1]},"faults":{"down":true}}'
	sleep 5
	set_faults "$no_faults"
}

lose_shard() {
	post_control /v1/faults '{"select":{"positions":[7]},"faults":{"down":true}}'
	sleep 5
	set_faults "$no_faults"
}

corrupt_replies() {
	local fault
	for fault in crossed truncated duplicated late error; do
		set_faults "{\"select\":{},\"faults\":{\"reply\":\"$fault\",\"reply_share\":0.02,\"reply_delay_ms\":300}}"
		sleep 1
	done
	set_faults "$no_faults"
}

send_wrong_hints() {
	set_faults '{"select":{},"faults":{"hints":"lying"}}'
	set_faults '{"select":{"positions":[0],"replicas":[0]},"faults":{"hints":"lying","slowdown":3}}'
	sleep 5
	set_faults "$no_faults"
}

# send_crash_request sends a request that crashes servers through several docks. The body is the
# same each time.
send_crash_request() {
	local i
	for i in 1 2 4 7 8 9; do
		"$bin/standin" ask --dock "$(dock_address $i 7200)" --service pressroom_desk --operation lookup --caller press_hall \
			--body '{"plate":"crash_the_server"}' --outcome not_run >>"$out/crash.log" 2>&1 || true
		sleep 0.5
	done
}

kill_dock() {
	kill_started dock-5
	sleep 4
	start dock-5 "$bin/dock" --settings "$out/dock-5.toml"
}

freeze_dock() {
	signal_started dock-6 STOP
	sleep 5
	signal_started dock-6 CONT
}

kill_keeper() {
	kill_started keeper-0
	sleep 4
	start keeper-0 "$bin/keeper" --settings "$out/keeper-0.toml"
}

stop_dock() {
	signal_started dock-7 TERM
	sleep 5
	wait_for_stopped dock-7
	start dock-7 "$bin/dock" --settings "$out/dock-7.toml"
}

# run_faults removes the docks that will fail from the load generator's list, as the platform's load
# balancer does.
run_faults() {
	start_side banyandock 20
	write_load_settings banyandock faults 500 "$(print_class urgent press_hall lookup 0.3)" "$(print_class routine prepress_desk search 0.3)" \
		"$(print_class reorder press_hall reorder 0.05)" 'scope = "one"' 'merge = "concatenate"' 'keyed = true'
	local i
	for i in 5 6 7; do
		sed -i "s/\"$(entry_address banyandock $i)\"\(, \)\?//" "$out/faults.toml"
	done
	measure_cell banyandock "no fault" faults 30
	measure_cell banyandock "version switch" faults 30 switch_version
	measure_cell banyandock "repartition" faults 30 repartition
	measure_cell banyandock "drain" faults 30 drain_replicas
	measure_cell banyandock "lost replicas" faults 30 lose_replicas
	measure_cell banyandock "lost shard" faults 30 lose_shard
	measure_cell banyandock "spoiled replies" faults 30 corrupt_replies
	measure_cell banyandock "lying hints" faults 30 send_wrong_hints
	measure_cell banyandock "crash request" faults 30 send_crash_request
	echo "  the deadly request, asked six times:"
	grep -E "status|outcome|covers" "$out/crash.log" | sed 's/^/    /'
	measure_cell banyandock "killed dock" faults 30 kill_dock
	measure_cell banyandock "frozen dock" faults 30 freeze_dock
	measure_cell banyandock "stopped dock" faults 30 stop_dock
	measure_cell banyandock "killed keeper" faults 30 kill_keeper
	stop_started || failed=1
}

start_seconds=$SECONDS
echo "experiment $experiment: $(nproc) cores, load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
run_"$experiment"
"$bin/standin" report --csv "$out/results.csv" --svg "$out/results.svg"
echo "took $((SECONDS - start_seconds)) s"
