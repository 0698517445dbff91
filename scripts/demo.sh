#!/usr/bin/env bash
# Starts the two example deployments one after the other on loopback addresses, sends queries to
# each, and stops all processes gracefully. Exits with 1 after any failure.
set -euo pipefail
cd "$(dirname "$0")/.."

out=$PWD/out/demo
bin=$PWD/bin
rm -rf "$out" out/pladevaerk out/skogsaegarna
mkdir -p "$out"
source scripts/processes.sh

failed=0
report_failure() {
	echo "FAILED: $1" >&2
	failed=1
}

# finish stops all running processes when the script exits for any reason.
finish() {
	local code=$?
	trap - EXIT
	stop_started || failed=1
	if ((code != 0 || failed != 0)); then
		echo "demo: FAILED, logs are in out/demo" >&2
		exit 1
	fi
	echo "demo: all right; everything has stopped"
}
trap finish EXIT
trap 'exit 130' INT TERM

# settings_values KEY FILE... prints the values of a key in settings files.
settings_values() {
	local key=$1
	shift
	sed -n "s/^$key = \"\(.*\)\"\$/\1/p" "$@"
}

# toml_list prints words as a TOML list.
toml_list() {
	local separator="" word
	printf '['
	for word in "$@"; do
		printf '%s"%s"' "$separator" "$word"
		separator=", "
	done
	printf ']'
}

# print_service NAME FIRST_ADDRESS INSTANCES SERVERS_PER_INSTANCE REPLICAS SHARDS SLOTS CONNECTIONS COST prints
# the settings of the backend servers of one service.
print_service() {
	cat <<-TOML

		[[service]]
		name = "$1"
		domains = $domains
		first_address = "$2"
		instances = $3
		servers_per_instance = $4
		replicas = $5
		shards = $6
		slots = $7
		connections = $8
		connection_cost = "$9"
		service_time = "5ms"
		spread = 0.5
		slow_share = 0.01
		slow_factor = 10
		one_way_delay = "$one_way_delay"
	TOML
}

# start_deployment NAME starts a deployment's keepers, docks and backend servers, submits its
# manifest, and waits until it is ready. It reads the backend servers' settings from standard
# input.
start_deployment() {
	local name=$1 file
	{
		echo "control = \"$control_address\""
		echo "announce_to = $(toml_list $(settings_values caller_address examples/"$name"/docks/*.toml))"
		cat
	} >"$out/$name-servers.toml"
	for file in examples/"$name"/keepers/*.toml; do
		start "$name-keeper-$(basename "$file" .toml)" "$bin/keeper" --settings "$file"
	done
	for file in examples/"$name"/docks/*.toml; do
		start "$name-dock-$(basename "$file" .toml)" "$bin/dock" --settings "$file"
	done
	start "$name-servers" "$bin/standin" serve --settings "$out/$name-servers.toml"
	local keepers
	keepers=$(settings_values link_address examples/"$name"/keepers/*.toml | paste -sd, -)
	echo "== $name: submitting the manifest"
	"$bin/dockctl" submit --keepers "$keepers" --timeout 60s "examples/$name/manifest.toml"
	"$bin/standin" await --timeout 60s $(settings_values operator_address examples/"$name"/docks/*.toml) "$control_address"
	# Servers announce themselves every 2 s, and docks receive the list of servers twice a second.
	sleep 4
	check_running
}

# run_query DOCK SERVICE OPERATION CALLER BODY [OPTION...] sends one query to a dock.
run_query() {
	local dock=$1 service=$2 operation=$3 caller=$4 body=$5
	shift 5
	"$bin/standin" ask --dock "$dock" --service "$service" --operation "$operation" --caller "$caller" --body "$body" "$@" ||
		report_failure "$service/$operation by $caller"
}

# run_load NAME SERVICE RATE CLASSES runs the load generator against a deployment for 5 s after a
# warm-up of 2 s.
run_load() {
	local name=$1 service=$2 rate=$3 classes=$4
	cat >"$out/$name-load.toml" <<-TOML
		docks = $(toml_list $(settings_values caller_address examples/"$name"/docks/*.toml))
		controls = ["$control_address"]
		service = "$service"
		rate = $rate
		warm_up = "2s"
		duration = "5s"
		bodies = 50
		$classes
	TOML
	"$bin/standin" load --settings "$out/$name-load.toml" --cell "$service" --side "$name" || report_failure "load on $service"
}

# print_class NAME CALLER OPERATION SHARE TIMEOUT ROWS prints the load settings of a class of
# queries.
print_class() {
	printf '[[class]]\nname = "%s"\ncaller = "%s"\noperation = "%s"\nshare = %s\ntimeout = "%s"\nrow_limit = %s\n' "$@"
}

# new_key prints an idempotency key. It is a version 7 UUID, whose first 48 bits are the Unix time
# in milliseconds.
new_key() {
	local time random
	time=$(printf '%012x' "$(date +%s%3N)")
	random=$(od -An -N8 -tx1 /dev/urandom | tr -d ' \n')
	echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:4:12}"
}

control_address=127.1.250.1:7900
domains='["dk-central-1", "dk-central-2", "dk-central-3"]'
one_way_delay=500us
start_deployment pladevaerk < <(
	print_service pressroom_desk 127.1.100.1 20 2 2 20 2 55 6ms
	print_service prepress_planner 127.1.101.1 30 2 2 30 2 55 6ms
	print_service archive_tickets 127.1.102.1 4 1 2 2 3 200 1ms
	print_service invoice_ledger 127.1.103.1 3 1 3 1 3 200 1ms
)
dock=127.1.2.1:7200
run_query $dock pressroom_desk lookup press-hall '{"plate":"K-1138"}' --timeout 250ms
run_query $dock prepress_planner plan prepress-desk '{"job":"J-7"}' --timeout 400ms
run_query $dock archive_tickets search job-tickets '{"year":2019}'
run_query $dock invoice_ledger totals office '{"month":"2026-11"}'
key=$(new_key)
echo "== a reorder, and the same again through another dock: it runs once"
run_query $dock pressroom_desk reorder press-hall '{"plate":"K-1138","sets":1}' --key "$key" --routing-key K-1138 --timeout 2s
run_query 127.1.3.1:7200 pressroom_desk reorder press-hall '{"plate":"K-1138","sets":1}' --key "$key" --routing-key K-1138 --timeout 2s --repeated
run_load pladevaerk pressroom_desk 40 "$(
	print_class urgent press-hall lookup 0.9 250ms 20
	print_class routine prepress-desk search 0.1 1s 50
)"
check_running
stop_started || failed=1

control_address=127.2.250.1:7900
domains='["umea", "sundsvall", "lulea"]'
one_way_delay=1ms
start_deployment skogsaegarna < <(
	print_service auktionsrum 127.2.100.1 20 2 2 20 2 60 6ms
	print_service medlemsportal 127.2.101.1 30 2 2 30 2 60 6ms
	print_service tillstand 127.2.102.1 10 1 2 5 3 90 1ms
	print_service virkesrapport 127.2.103.1 5 1 5 1 3 90 1ms
)
dock=127.2.2.1:7200
run_query $dock auktionsrum stands sawmills '{"species":"pine"}' --timeout 500ms
run_query $dock auktionsrum bids sawmills '{"stand":"S-12"}' --timeout 400ms
key=$(new_key)
echo "== a bid, and the same again through another dock: it runs once"
run_query $dock auktionsrum bid sawmills '{"stand":"S-12","price":410}' --key "$key" --routing-key S-12 --timeout 2s
run_query 127.2.3.1:7200 auktionsrum bid sawmills '{"stand":"S-12","price":410}' --key "$key" --routing-key S-12 --timeout 2s --repeated
run_load skogsaegarna auktionsrum 40 "$(
	print_class urgent sawmills stands 0.5 500ms 50
	print_class bids sawmills bids 0.5 400ms 20
)"
check_running
