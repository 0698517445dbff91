# Functions that start processes in the background and stop them by their process ids. The script
# that sources this file sets $out to the folder for logs.

process_ids=()
process_names=()
stop_timeout_s=30

# start NAME COMMAND... runs a command in the background; its log is $out/NAME.log.
start() {
	local name=$1
	shift
	"$@" >"$out/$name.log" 2>&1 &
	process_ids+=($!)
	process_names+=("$name")
}

# is_running ID reports by its exit code whether a started process still runs.
is_running() {
	kill -0 "$1" 2>/dev/null
}

# check_running fails if a started process has exited unexpectedly, and prints the end of its log.
check_running() {
	local i
	for i in "${!process_ids[@]}"; do
		if ! is_running "${process_ids[$i]}"; then
			echo "${process_names[$i]} ended by itself; end of its log:" >&2
			tail -n 5 "$out/${process_names[$i]}.log" >&2
			return 1
		fi
	done
}

# stop_started sends SIGTERM to all processes in reverse order of their start and waits for them. It
# fails if a process had to be killed or did not exit with 0.
stop_started() {
	local failed=0 i
	for ((i = ${#process_ids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${process_ids[$i]}" 2>/dev/null || true
	done
	local end=$((SECONDS + stop_timeout_s))
	for ((i = ${#process_ids[@]} - 1; i >= 0; i--)); do
		wait_or_kill "${process_ids[$i]}" "${process_names[$i]}" "$end" || failed=1
	done
	process_ids=()
	process_names=()
	return $failed
}

# wait_or_kill ID NAME END waits for a process until $SECONDS reaches END, and kills it then. It
# fails if the exit code is not 0.
wait_or_kill() {
	local id=$1 name=$2 end=$3 code=0
	while is_running "$id" && ((SECONDS < end)); do
		sleep 0.05
	done
	if is_running "$id"; then
		echo "$name did not stop within $stop_timeout_s s and was killed" >&2
		kill -KILL "$id" 2>/dev/null || true
	fi
	wait "$id" || code=$?
	if ((code != 0)); then
		echo "$name exited with $code; end of its log:" >&2
		tail -n 5 "$out/$name.log" >&2
		return 1
	fi
}

# processor_time PREFIX prints the processor time in ms that the running processes whose names start
# with the prefix have used in total.
processor_time() {
	local i total=0 fields ticks_per_s
	ticks_per_s=$(getconf CLK_TCK)
	for i in "${!process_ids[@]}"; do
		if [[ ${process_names[$i]} == "$1"* ]]; then
			# The sed command removes the process name, which is in parentheses and may contain
			# spaces.
			fields=($(sed 's/.*) //' "/proc/${process_ids[$i]}/stat"))
			total=$((total + fields[11] + fields[12]))
		fi
	done
	echo $((total * 1000 / ticks_per_s))
}

# process_id_of NAME prints the process id of a started process.
process_id_of() {
	local i
	for i in "${!process_ids[@]}"; do
		if [ "${process_names[$i]}" = "$1" ]; then
			echo "${process_ids[$i]}"
			return
		fi
	done
	echo "nothing runs under the name $1" >&2
	return 1
}

# signal_started NAME SIGNAL sends a signal to a started process.
signal_started() {
	kill "-$2" "$(process_id_of "$1")"
}

# remove_from_list NAME removes an exited process from the lists of processes.
remove_from_list() {
	local i
	for i in "${!process_ids[@]}"; do
		if [ "${process_names[$i]}" = "$1" ]; then
			unset "process_ids[$i]" "process_names[$i]"
		fi
	done
	process_ids=("${process_ids[@]}")
	process_names=("${process_names[@]}")
}

# kill_started NAME kills a process with SIGKILL, as in a host failure.
kill_started() {
	local id
	id=$(process_id_of "$1")
	kill -KILL "$id"
	wait "$id" 2>/dev/null || true
	remove_from_list "$1"
}

# wait_for_stopped NAME waits for a process that was sent SIGTERM, as wait_or_kill does.
wait_for_stopped() {
	wait_or_kill "$(process_id_of "$1")" "$1" $((SECONDS + stop_timeout_s))
	remove_from_list "$1"
}
