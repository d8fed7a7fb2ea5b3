#!/usr/bin/env bash
# Plays the cases of review/ in a copy of the tree, RUNS times with their disruptions and once without, and prints a table.
# CASES names some of them. Exits with 1 if a rule was broken or a case couldn't be played.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${RUNS:-1}
cases=${CASES:-$(find review -mindepth 2 -maxdepth 2 -name run.sh -printf '%h\n' | sed 's,review/,,' | sort -n)}
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

failed=0
printf '%-6s %-10s %s\n' case disruption results
for c in $cases; do
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
