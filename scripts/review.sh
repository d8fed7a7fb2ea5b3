#!/usr/bin/env bash
# Plays the cases of review/ and prints a table: scripts in a copy of the tree, RUNS times with their disruptions and once without,
# days on the bench, with SEEDS seeds each, where it is there. CASES names some of them. Exits with 1 if a rule was broken or a case
# couldn't be played.
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
go build -ldflags=-linkmode=external -o target/ .
review/build.sh
review/build-2.sh
review/build-3.sh

# The stand-ins of the first review know only the placeholders of its time. Settings that came later get their defaults.
set_template() {
	if [ "$1" -le 5 ]; then
		sed -e '/{{#bounds\.revokeStrict}}/,/{{\/bounds\.revokeStrict}}/d' -e '/^\[Quota\]/,/^$/d' -e '/^\[Limits\]/,/^$/d' \
			template.ini >deploy/entry.ini
	else
		cp template.ini deploy/entry.ini
	fi
}
cp deploy/entry.ini template.ini

play() { # CASE TROUBLE
	set +e
	TROUBLE=$2 review/"$1"/run.sh >"$copy/output" 2>&1
	local code=$?
	set -e
	case $code in
	0) echo held ;;
	1) echo BROKEN ;;
	*) echo "NOT PLAYED" && tail -n 3 "$copy/output" >&2 ;;
	esac
}

# Days are played in the tree itself, since the bench keeps a journal there.
play_day() { # CASE SEED
	local site
	site=$(sed -n 's/^site: //p' "review/$1/claim.txt")
	if ! "$system/bin/fleetbench" run "$system/sites/$site.toml" "review/$1/day.toml" --seed "$2" --why "make review, case $1" \
		>"$copy/output" 2>&1; then
		echo "NOT PLAYED" && tail -n 3 "$copy/output" >&2
	elif grep -q BROKEN "$copy/output"; then
		echo BROKEN
	else
		echo held
	fi
}

failed=0
printf '%-6s %-10s %s\n' case disruption results
for c in $cases; do
	if [ ! -e "$tree/review/$c/run.sh" ]; then
		if [ ! -x "$system/bin/fleetbench" ]; then
			printf '%-6s %-10s %s\n' "$c" day "not played, since the bench isn't here"
			continue
		fi
		with=()
		for seed in $(seq "$seeds"); do
			with+=("$(cd "$tree" && play_day "$c" "$seed")")
		done
		printf '%-6s %-10s %s\n' "$c" day "$(IFS=,; echo "${with[*]}")"
		if [[ "${with[*]}" =~ BROKEN|PLAYED ]]; then
			failed=1
		fi
		continue
	fi
	set_template "$c"
	with=()
	for _ in $(seq "$runs"); do
		with+=("$(play "$c" 1)")
	done
	without=$(play "$c" 0)
	printf '%-6s %-10s %s\n' "$c" with "$(IFS=,; echo "${with[*]}")" "$c" without "$without"
	if [[ "${with[*]} $without" =~ BROKEN|PLAYED ]]; then
		failed=1
	fi
done
exit $failed
