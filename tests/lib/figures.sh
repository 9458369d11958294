# Figures for tests/measure; sourced after fleet.sh.

# figure NAME KEY FILE: the value of KEY=VALUE in the line of a load client
# that starts with NAME.
figure() {
	value=$(sed -n "s/^$1.*[[:space:]]$2=\\([0-9]*\\).*/\\1/p" "$3")
	[ -n "$value" ] || fleet_fail "no $2 of $1 in $3: $(cat "$3")"
	echo "$value"
}

# ratio A B [DIGITS]
ratio() {
	awk -v a="$1" -v b="$2" -v d="${3:-2}" \
		'BEGIN { if (b > 0) printf "%.*f", d, a / b; else print "-" }'
}

# ms US: microseconds as milliseconds
ms() {
	awk -v us="$1" 'BEGIN { printf "%.2f", us / 1000 }'
}

# row FIGURE VALUE BASELINE RATIO TARGET
row() {
	printf '| %s | %s | %s | %s | %s |\n' "$@" | tee -a "$TABLE"
}

# cpu_ms PROCESS: processor time that it has used
cpu_ms() {
	# Fields 14 and 15 of stat, after the name in parentheses, in ticks.
	sed 's/.*) //' "/proc/$(cat "$RUN/pid.$1")/stat" |
		awk -v hz="$(getconf CLK_TCK)" \
			'{ print int(($12 + $13) * 1000 / hz) }'
}

# rss_kb PROCESS
rss_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$RUN/pid.$1")/status"
}

# metric DAEMON NAME: the sum of a metric
metric() {
	curl -sf "http://$(cat "$RUN/operators.$1")/metrics" \
		-H "Authorization: Bearer $FLEET_TOKEN" |
		awk -v name="$2" '$1 ~ "^" name "($|{)" { sum += $2 }
			END { printf "%d", sum }'
}

# load_now NAME OPTION...: runs a load client to its end
load_now() {
	fleet_load "$@"
	wait "$(cat "$RUN/pid.$1")" || true
	rm "$RUN/pid.$1"
}

# event_us FILE EVENT [PATTERN]: times of the events that match
event_us() {
	grep "\"event\":\"$2\"" "$1" | grep "${3:-.}" |
		sed 's/^{"t_us":\([0-9]*\).*/\1/'
}
