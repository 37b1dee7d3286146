#!/bin/sh
# Demonstrates the router on this machine: installs missing packages, builds,
# starts the fakes of the platform, three engines that share one model, a
# booking service and five entry instances, and sends a few requests. Prints
# each step with the milliseconds since the fakes were started. Exits with 0
# if all checks succeeded.
#
# Environment: DEMO_PORT is the first of 60 loopback ports (default 18100),
# DEMO_JOBS the number of parallel compilers, DEMO_BUILD the build folder.
set -eu
cd "$(dirname "$0")/.."

base_port=${DEMO_PORT:-18100}
build=${DEMO_BUILD:-build}
work=$(mktemp -d)
pids=
entry_pids=
model=swan-70b
token=demo-token
org=hotell-vinter
begin=$(date +%s%3N)

say()
{
	printf '%6d ms  %s\n' $(($(date +%s%3N) - begin)) "$*"
}

fail()
{
	say "FAILED: $*"
	for log in "$work"/*.log
	do
		test -s "$log" || continue
		echo "--- $(basename "$log"), last lines"
		tail -n 5 "$log"
	done
	exit 1
}

stop_group()
{
	for pid in "$@"
	do
		kill -TERM "$pid" 2>/dev/null || :
	done
	for pid in "$@"
	do
		wait "$pid" 2>/dev/null || :
	done
}

# Stops all processes that this script started.
stop_all()
{
	code=$?
	trap - EXIT INT TERM
	# Entry instances need the platform while they drain.
	# shellcheck disable=SC2086
	stop_group $entry_pids
	test -z "$entry_pids" || say "the entry instances have ended"
	# shellcheck disable=SC2086
	stop_group $pids
	rm -rf "$work"
	test "$code" -ne 0 || say "all processes have ended"
	exit "$code"
}

# Waits at most 20 s until a command succeeds.
wait_for()
{
	what=$1
	shift
	tries=0
	until "$@"
	do
		tries=$((tries + 1))
		test "$tries" -lt 400 || fail "$what: not within 20 s"
		sleep 0.05
	done
}

is_listening()
{
	grep -q 'listening on' "$1"
}

# Starts a fake: NAME PROGRAM OPTION... Sets $address to its address.
start_fake()
{
	name=$1
	program=$2
	shift 2
	"$build/fakes/${program}_fake" "$@" >"$work/$name.out" \
		2>"$work/$name.log" &
	pids="$pids $!"
	wait_for "$name" is_listening "$work/$name.out"
	address=$(sed -n 's/^listening on //p' "$work/$name.out")
	say "$name listens on $address"
}

caller_address()
{
	echo "127.0.0.1:$((base_port + $1))"
}

operator_address()
{
	echo "127.0.0.1:$((base_port + 20 + $1))"
}

peer_address()
{
	echo "127.0.0.1:$((base_port + 40 + $1))"
}

data_center()
{
	case $1 in
	1 | 4) echo uppsala ;;
	2 | 5) echo gavle ;;
	*) echo falun ;;
	esac
}

public_key()
{
	cut -d' ' -f2 "$work/key-$1"
}

write_settings()
{
	hash=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
	peers=
	for other in 1 2 3 4 5
	do
		test "$other" = "$1" && continue
		peers="$peers${peers:+,}
  {\"id\":\"entry-$other\",\"public_key\":\"$(public_key $other)\"}"
	done
	cat >"$work/entry-$1.json" <<SETTINGS
{"instance":"entry-$1","data_center":"$(data_center "$1")",
 "caller_address":"$(caller_address "$1")",
 "operator_address":"$(operator_address "$1")",
 "peer_address":"$(peer_address "$1")",
 "curve":{"secret_key":"$(cut -d' ' -f1 "$work/key-$1")",
  "public_key":"$(public_key "$1")","peers":[$peers]},
 "object_api":["$store"],"instance_list":"$list",
 "organizations":[{"id":"$org","token_sha256":"$hash"}],
 "drain_limit_ms":5000,"seed":$1}
SETTINGS
}

entry_record()
{
	cat <<RECORD
{"id":"entry-$1","role":"entry","state":"live",
 "address":"$(caller_address "$1")","peer_address":"$(peer_address "$1")",
 "data_center":"$(data_center "$1")","incarnation":$begin}
RECORD
}

engine_record()
{
	cat <<RECORD
{"id":"engine-$1","role":"engine","state":"live","address":"$2",
 "peer_address":"","data_center":"uppsala","incarnation":$begin,
 "serves":"$model","n_layers":60,"first_layer":$(($1 * 20 - 20)),
 "last_layer":$(($1 * 20 - 1)),"slots":8,"step_us":2000,
 "accelerator":"a100","checks_fencing":true,"checks_sender":false,
 "has_status":false}
RECORD
}

service_record()
{
	cat <<RECORD
{"id":"booking-1","role":"service","state":"live","address":"$service",
 "peer_address":"","data_center":"uppsala","incarnation":$begin,
 "serves":"booking","slots":64,"step_us":0,"has_status":true}
RECORD
}

publish_list()
{
	{
		printf '{"instances":['
		for n in 1 2 3 4 5
		do
			entry_record $n
			printf ,
		done
		for n in 1 2 3
		do
			engine_record $n "$(cat "$work/engine-$n.address")"
			printf ,
		done
		service_record
		printf ']}'
	} >"$work/instances.json"
	curl -sS -f -o /dev/null --data-binary @"$work/instances.json" \
		"http://$list/admin/instances"
}

is_ready()
{
	curl -sS -f -o /dev/null -m 2 \
		"http://$(operator_address "$1")/readyz" 2>/dev/null
}

# Publishes a rules file and waits until all five instances apply it.
publish_rules()
{
	"$build/wagtailferry" rules publish --base=latest --store="$store" \
		--author=demo --wait --wait-timeout=13 \
		--instance="$(operator_address 1)" \
		--instance="$(operator_address 2)" \
		--instance="$(operator_address 3)" \
		--instance="$(operator_address 4)" \
		--instance="$(operator_address 5)" \
		"$1" >"$work/publish.log" 2>&1 ||
		fail "rules publish: $(cat "$work/publish.log")"
	sed 's/^/             /' "$work/publish.log"
}

# Prints a new UUIDv7.
new_key()
{
	ms=$(printf %012x "$(date +%s%3N)")
	random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
	printf '%s-%s-7%s-8%s-%s\n' "$(echo "$ms" | cut -c1-8)" \
		"$(echo "$ms" | cut -c9-12)" "$(echo "$random" | cut -c1-3)" \
		"$(echo "$random" | cut -c4-6)" "$(echo "$random" | cut -c7-18)"
}

book()
{
	curl -sS -m 10 -w '\n%{http_code}' -H "Authorization: Bearer $token" \
		-H "Idempotency-Key: $2" -H 'Content-Type: application/json' \
		-d '{"item":"ice lantern","date":"2027-01-16"}' \
		"http://$(caller_address "$1")/v1/services/booking/book"
}

build_all()
{
	scripts/install-deps.sh
	make -s -j"${DEMO_JOBS:-$(nproc)}" all
	for program in wagtailferryd wagtailferry
	do
		test -x "$build/$program" ||
			fail "$build/$program was not built"
	done
}

start_platform()
{
	start_fake store store
	store=$address
	start_fake list list
	list=$address
	start_fake booking-1 service --status --delay-ms 20
	service=$address
	for n in 1 2 3
	do
		start_fake engine-$n engine --id engine-$n --model "$model" \
			--first-layer $((n * 20 - 20)) \
			--last-layer $((n * 20 - 1)) --step-us 2000 \
			--list "$list" --checks-fencing
		echo "$address" >"$work/engine-$n.address"
	done
}

start_entries()
{
	for n in 1 2 3 4 5
	do
		"$build/curve_keypair" >"$work/key-$n"
	done
	publish_list
	for n in 1 2 3 4 5
	do
		write_settings $n
		"$build/wagtailferryd" --settings "$work/entry-$n.json" \
			>"$work/entry-$n.out" 2>"$work/entry-$n.log" &
		entry_pids="$entry_pids $!"
	done
	say "five entry instances start"
}

# Succeeds once the instance can forward requests to the engines.
is_serving()
{
	curl -sS -f -o /dev/null -m 5 -H "Authorization: Bearer $token" \
		-H 'Content-Type: application/json' -d "{\"model\":\"$model\",
		\"max_tokens\":1,\"messages\":[{\"role\":\"user\",
		\"content\":\"Are you there?\"}]}" \
		"http://$(caller_address "$1")/v1/chat/completions" 2>/dev/null
}

send_model_request()
{
	say "a streamed model request at entry-1:"
	curl -sS -N -m 30 -H "Authorization: Bearer $token" \
		-H 'Content-Type: application/json' -d "{\"model\":\"$model\",
		\"stream\":true,\"max_tokens\":12,\"messages\":[{
		\"role\":\"user\",\"content\":\"A quote for four lanterns\"}]}" \
		"http://$(caller_address 1)/v1/chat/completions" |
		while IFS= read -r line
		do
			test -z "$line" || say "  $line"
			echo "$line" >>"$work/stream.out"
		done
	grep -q '^data: \[DONE\]' "$work/stream.out" ||
		fail "the stream ended without [DONE]"
	test "$(grep -c '"content"' "$work/stream.out")" -ge 12 ||
		fail "the stream has fewer than 12 tokens"
}

send_bookings()
{
	key=$(new_key)
	book 2 "$key" >"$work/first.out" || fail "booking at entry-2: no answer"
	say "booking at entry-2: $(tr '\n' ' ' <"$work/first.out")"
	book 4 "$key" >"$work/second.out" || fail "booking at entry-4: no answer"
	say "same booking at entry-4: $(tr '\n' ' ' <"$work/second.out")"
	cmp -s "$work/first.out" "$work/second.out" ||
		fail "the answers differ"
	test "$(tail -n 1 "$work/first.out")" = 200 ||
		fail "booking: status is not 200"
	runs=$(curl -sS "http://$service/v1/records" |
		tr '}' '\n' | grep -c '"runs":1,')
	test "$runs" -eq 1 || fail "the booking ran $runs times"
	say "the booking ran once and both answers are the same"
}

trap stop_all EXIT
trap 'exit 130' INT TERM
build_all
begin=$(date +%s%3N)
start_platform
start_entries

cat >"$work/rules" <<RULES
route org=any model=$model priority=1 deadline=20s # Karin
route org=any service=booking deadline=5s repeat=no # Karin
RULES
wait_for "entry-1" curl -sS -f -o /dev/null -m 2 \
	"http://$(operator_address 1)/livez" 2>/dev/null
say "rules are published:"
publish_rules "$work/rules"
for n in 1 2 3 4 5
do
	wait_for "entry-$n" is_ready $n
done
say "all five entry instances are ready"
for n in 1 2 3 4 5
do
	wait_for "an answer of entry-$n" is_serving $n
done
say "all five entry instances serve model requests"

send_model_request
send_bookings

say "a rule is changed:"
printf 'route org=%s model=%s priority=0 deadline=8s # Karin\n' \
	"$org" "$model" >>"$work/rules"
publish_rules "$work/rules"
say "all five instances confirm the change"
"$build/wagtailferry" status --store="$store" \
	--instance="$(operator_address 1)" --instance="$(operator_address 2)" \
	--instance="$(operator_address 3)" --instance="$(operator_address 4)" \
	--instance="$(operator_address 5)" |
	sed 's/^/             /'
