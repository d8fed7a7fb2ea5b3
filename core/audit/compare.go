package audit

import (
	"fmt"
	"time"

	"snipewall/core"
	"snipewall/core/topo"
)

// Compare returns what differs between the version in force and the next one, and what callers will notice.
func Compare(old, next Config) []Finding {
	k := &checker{c: next}
	if next.Version <= old.Version {
		k.add(Error, next.Line, "", FieldVersion, fmt.Sprintf("%d is not above %d, the version in force: entry VMs ignore it", next.Version, old.Version))
	}
	if old.TxIdle != next.TxIdle {
		k.add(Change, next.TxIdleLine, "", FieldTxIdle, fmt.Sprintf("%v instead of %v: transactions that rest longer are rolled back", next.TxIdle, old.TxIdle))
	}
	k.compareRoutes(old)
	k.compareGroups(old)
	k.compareOrganisations(old)
	return k.findings
}

func (k *checker) compareRoutes(old Config) {
	before := make(map[string]Route)
	for _, r := range old.Routes {
		before[r.Database] = r
	}
	for _, r := range k.c.Routes {
		o, ok := before[r.Database]
		delete(before, r.Database)
		if !ok {
			k.add(Change, r.Line, r.Database, FieldDatabase, "is new: callers can open it")
			continue
		}
		k.compareRoute(o, r)
	}
	for _, r := range old.Routes {
		if _, ok := before[r.Database]; ok {
			k.add(Change, 0, r.Database, FieldDatabase, "is gone: callers are refused, open transactions end first")
		}
	}
}

func (k *checker) compareRoute(o, r Route) {
	change := func(f Field, old, next any, effect string) {
		if old != next {
			k.add(Change, r.Line, r.Database, f, fmt.Sprintf("%v instead of %v: %s", next, old, effect))
		}
	}
	change(FieldGroup, o.Group, r.Group, "the next transactions run on the other group's upstreams")
	change(FieldConsistency, o.Reads, r.Reads, "reads may see other states of the data")
	change(FieldMaxAge, o.MaxAge, r.MaxAge, "reads may be that much behind")
	effect := "statements that take longer end"
	if r.StatementTimeout > o.StatementTimeout {
		effect = "statements may take longer before they end"
	}
	change(FieldTimeout, o.StatementTimeout, r.StatementTimeout, effect)
	change(FieldObjective, o.Objective, r.Objective, "callers' objective")
	change(FieldRank, o.Rank, r.Rank, "in a surge the work is served in another order")
	effect = "callers need a key"
	if r.Public {
		effect = "callers need no key, and no limit of an organisation applies"
	}
	change(FieldPublic, o.Public, r.Public, effect)
}

func (k *checker) compareGroups(old Config) {
	before := make(map[core.GroupID]Group)
	for _, g := range old.Groups {
		before[g.ID] = g
	}
	for _, g := range k.c.Groups {
		o, ok := before[g.ID]
		delete(before, g.ID)
		switch {
		case !ok:
			k.add(Change, g.Line, string(g.ID), FieldName, "is new")
			continue
		case o.Connections != g.Connections:
			k.add(Change, g.Line, string(g.ID), FieldConnections, fmt.Sprintf("%d instead of %d: entry VMs open that many at most, all together", g.Connections, o.Connections))
		}
		if o.SyncReplicas != g.SyncReplicas {
			k.add(Change, g.Line, string(g.ID), FieldReplicas, fmt.Sprintf("%d instead of %d replicas have a commit before it is acknowledged", g.SyncReplicas, o.SyncReplicas))
		}
	}
	for _, g := range old.Groups {
		if _, ok := before[g.ID]; ok {
			k.add(Change, 0, string(g.ID), FieldName, "is gone")
		}
	}
}

func (k *checker) compareOrganisations(old Config) {
	if old.NeedsKeys != k.c.NeedsKeys {
		effect := "callers without a key are refused, except on public routes"
		if !k.c.NeedsKeys {
			effect = "callers need no key any more, and no limit of an organisation applies"
		}
		k.add(Change, k.c.Line, "", FieldKeys, effect)
	}
	before := make(map[core.OrganisationID]Organisation)
	for _, o := range old.Organisations {
		before[o.ID] = o
	}
	for _, o := range k.c.Organisations {
		was, ok := before[o.ID]
		delete(before, o.ID)
		if !ok {
			k.add(Change, o.Line, string(o.ID), FieldName, "is new")
			continue
		}
		k.compareOrganisation(was, o)
	}
	for _, o := range old.Organisations {
		if _, ok := before[o.ID]; ok {
			k.add(Change, 0, string(o.ID), FieldName, fmt.Sprintf("is gone: callers with its %d keys are refused", len(o.Keys)))
		}
	}
}

func (k *checker) compareOrganisation(was, o Organisation) {
	keys := make(map[topo.KeyDigest]bool)
	for _, key := range was.Keys {
		keys[key.Digest] = true
	}
	added := 0
	for _, key := range o.Keys {
		if !keys[key.Digest] {
			added++
		}
		delete(keys, key.Digest)
	}
	if added > 0 {
		k.add(Change, o.Line, string(o.ID), FieldKeys, fmt.Sprintf("%d added", added))
	}
	if len(keys) > 0 {
		k.add(Change, o.Line, string(o.ID), FieldKeys, fmt.Sprintf("%d withdrawn: callers with them are refused, and their open transactions are rolled back", len(keys)))
	}
	if was.Rate != o.Rate {
		k.add(Change, o.Line, string(o.ID), FieldRate, fmt.Sprintf("%g instead of %g operations a second", o.Rate, was.Rate))
	}
	if was.Burst != o.Burst {
		text := fmt.Sprintf("%g instead of %g operations", o.Burst, was.Burst)
		if o.Rate > 0 {
			text += fmt.Sprintf(", available again after %v", time.Duration(o.Burst/o.Rate*float64(time.Second)).Round(time.Millisecond))
		}
		k.add(Change, o.Line, string(o.ID), FieldBurst, text)
	}
}
