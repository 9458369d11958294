# Figures for tests/measure and tests/measure_control; to be sourced after
# fleet.sh.

# figure NAME KEY FILE: prints the value of KEY=VALUE in the line that starts
# with NAME in the output of a load client
figure() {
	value=$(sed -n "s/^$1.*[[:space:]]$2=\\([0-9]*\\).*/\\1/p" "$3")
	[ -n "$value" ] || fleet_fail "no figure $2 of $1 in $3: $(cat "$3")"
	echo "$value"
}

# ratio A B [DIGITS]: prints A / B with 2 decimals by default; "-" if B is 0
ratio() {
	awk -v a="$1" -v b="$2" -v d="${3:-2}" \
		'BEGIN { if (b > 0) printf "%.*f", d, a / b; else print "-" }'
}

# ms US: converts microseconds to milliseconds
ms() {
	awk -v us="$1" 'BEGIN { printf "%.2f", us / 1000 }'
}

# row FIGURE VALUE BASELINE RATIO TARGET: prints a table row and appends the row
# to $TABLE
row() {
	printf '| %s | %s | %s | %s | %s |\n' "$@" | tee -a "$TABLE"
}

# cpu_ms PROCESS: prints the processor time that a process has used, in ms
cpu_ms() {
	# User and system time in ticks: fields 14 and 15 of stat, which are 12
	# and 13 after the name in parentheses.
	sed 's/.*) //' "/proc/$(cat "$RUN/pid.$1")/stat" |
		awk -v hz="$(getconf CLK_TCK)" \
			'{ print int(($12 + $13) * 1000 / hz) }'
}

# rss_kb PROCESS: prints the resident memory of a process, in KiB
rss_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$RUN/pid.$1")/status"
}

# metric DAEMON NAME: prints a metric, summed over its labels
metric() {
	curl -sf "http://$(cat "$RUN/operators.$1")/metrics" \
		-H "Authorization: Bearer $FLEET_TOKEN" |
		awk -v name="$2" '$1 ~ "^" name "($|{)" { sum += $2 }
			END { printf "%d", sum }'
}

# load_now NAME OPTION...: runs a load client and waits for its end
load_now() {
	fleet_load "$@"
	wait "$(cat "$RUN/pid.$1")" || true
	rm "$RUN/pid.$1"
}

# event_us FILE EVENT [PATTERN]: prints the times of the matching events in a
# history, in us
event_us() {
	grep "\"event\":\"$2\"" "$1" | grep "${3:-.}" |
		sed 's/^{"t_us":\([0-9]*\).*/\1/'
}
