#!/usr/bin/env bash
# Plays the cases of review/ as their readers do, and prints a table: scripts in a copy of the tree, built as deploy/system.toml and the
# reviews say, RUNS times with their disruptions and once without; days on the bench, with SEEDS seeds each. CASES names some of
# them. A run with disruptions shows how often its record has them. Exits with 1 if a rule was broken or a case couldn't be played.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${RUNS:-1}
seeds=${SEEDS:-12}
cases=${CASES:-$(find review -mindepth 2 -maxdepth 2 -name claim.txt -printf '%h\n' | sed 's,review/,,' | sort -n)}
system=$(realpath -m "${SYSTEM:-../given/kit/more/system}")
tree=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | tar --null --files-from=- -cf - | tar -xf - -C "$copy"
cd "$copy"
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
review/build.sh
review/build-2.sh
review/build-3.sh

# The lines of a record that show the disruption of a case: NAME=PATTERN, one a line. A run without one of them has not played its case.
declare -A disruptions=(
	[1]=$'releases=release: \npromotions= leads term '
	[2]=$'crashes= crashes$\npromotions= leads term '
	[3]=$'prepared shapes with blanks= PREPARE s1 READ acct READ audit$'
	[4]=$'kills=all processes are killed$\nroutes dropped= is dropped$'
	[5]=$'drains= drains$\nadded VMs= is added$'
	[6]=$'failed requests= fails [0-9a-f]* '
	[7]=$'outages= goes dark$'
	[8]=$'kills=: killed$'
	[9]=$'cuts= cut [0-9]+: '
	[10]=$'lost answers=; the answer is lost$'
	[12]=$'waves=statements sent ahead: true$'
	[13]=$'releases= is draining$\nkills=: killed$\npromotions= is promoted at '
)

# Prints how often the record of a case has each disruption, and returns 1 if one is missing.
count_disruptions() { # CASE
	local name pattern n counts=() missing=0
	while IFS='=' read -r name pattern; do
		n=$(grep -cE "$pattern" "review/$1/record.txt" || true)
		counts+=("$n $name")
		if [ "$n" = 0 ]; then
			missing=1
		fi
	done <<<"${disruptions[$1]:-without a known record=^$}"
	(IFS=,; echo "${counts[*]}")
	return $missing
}

# Prints the result of a run.
play() { # CASE TROUBLE
	local code=0 counts
	rm -f "review/$1/record.txt"
	TROUBLE=$2 review/"$1"/run.sh >"$copy/output" 2>&1 || code=$?
	case $code in
	0) ;;
	1) echo BROKEN && return ;;
	*) echo "NOT PLAYED" && tail -n 3 "$copy/output" >&2 && return ;;
	esac
	if [ "$2" = 0 ]; then
		echo held
	elif counts=$(count_disruptions "$1"); then
		echo "held ($counts)"
	else
		echo "NOT PLAYED ($counts)"
	fi
}

# Prints the result of a day. Days are played in the tree itself, since the bench keeps a journal there.
play_day() { # CASE SEED
	local site promotions
	site=$(sed -n 's/^site: //p' "review/$1/claim.txt")
	if ! "$system/bin/fleetbench" run "$system/sites/$site.toml" "review/$1/day.toml" --seed "$2" --why "make review, case $1" \
		>"$copy/output" 2>&1; then
		echo "NOT PLAYED" && tail -n 3 "$copy/output" >&2
		return
	fi
	promotions=$(grep -oE '[0-9]+ promotions' "$copy/output" | head -n 1 || true)
	if grep -q BROKEN "$copy/output"; then
		echo "BROKEN"
	else
		echo "held (${promotions:-promotions not told})"
	fi
}

failed=0
printf '%-6s %-10s %s\n' case disruption results
for c in $cases; do
	with=()
	if [ -e "$tree/review/$c/run.sh" ]; then
		for _ in $(seq "$runs"); do
			with+=("$(play "$c" 1)")
		done
		without=$(play "$c" 0)
		printf '%-6s %-10s %s\n' "$c" with "$(IFS=';'; echo "${with[*]}")" "$c" without "$without"
	else
		without=held
		for seed in $(seq "$seeds"); do
			with+=("$(cd "$tree" && play_day "$c" "$seed")")
		done
		printf '%-6s %-10s %s\n' "$c" day "$(IFS=';'; echo "${with[*]}")"
	fi
	if [[ "${with[*]} $without" =~ BROKEN|PLAYED ]]; then
		failed=1
	fi
done
exit $failed
