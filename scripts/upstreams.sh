#!/usr/bin/env bash
# Prints the upstreams of a settings file, one per line: id, group, address, slots, connections, connect
# time, role, and for a replica the address of its primary. In the n-th group the n-th upstream starts as
# primary, so that the primaries are spread over the failure domains.
set -euo pipefail
awk '
	/^\[Upstream / { id = $2; sub(/\]$/, "", id); ids[++n] = id; next }
	/^\[/ { id = ""; next }
	id != "" && $2 == "=" { v[id, $1] = $3 }
	END {
		for (i = 1; i <= n; i++) {
			g = v[ids[i], "Group"]
			if (!(g in size)) order[g] = ++groups
			member[g, ++size[g]] = ids[i]
		}
		for (i = 1; i <= n; i++) {
			id = ids[i]; g = v[id, "Group"]
			p = member[g, (order[g] - 1) % size[g] + 1]
			line = id " " g " " v[id, "Address"] " " v[id, "Slots"] " " v[id, "Connections"] " " v[id, "ConnectTime"]
			print line, (id == p ? "primary" : "replica " v[p, "Address"])
		}
	}
' "$1"
