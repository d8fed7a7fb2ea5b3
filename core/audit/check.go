package audit

import (
	"fmt"
	"slices"
	"time"

	"snipewall/core"
	"snipewall/core/orgs"
	"snipewall/core/topo"
)

const (
	// maxRefill is the longest time in which a burst is usually meant to be available again.
	maxRefill = time.Minute
	// confirmMargin is how long after the end of its watch of the configuration an entry VM asks the store itself.
	confirmMargin = 600 * time.Millisecond
	// deafTime is how long the store's watches may hear nothing while changes are made.
	deafTime = time.Second
)

// Check returns the errors and warnings of the configuration by itself.
func Check(c Config, bounds Bounds) []Finding {
	k := &checker{c: c, usedGroups: make(map[core.GroupID]bool)}
	if c.Version == 0 {
		k.add(Error, c.Line, "", FieldVersion, "must be above 0")
	}
	if c.TxIdle < 0 {
		k.add(Error, c.TxIdleLine, "", FieldTxIdle, "must not be negative")
	}
	k.checkRoutes()
	k.checkGroups()
	k.checkOrganisations()
	if bounds.KeyRevocation > 0 && c.NeedsKeys {
		age := orgs.FeedTarget(bounds.ConfigTarget, bounds.KeyRevocation)/2 + confirmMargin
		limit := orgs.MaxAge(bounds.KeyRevocation)
		if age > limit || limit+deafTime > bounds.KeyRevocation {
			k.add(Warning, c.Line, "", FieldKeys, fmt.Sprintf("a bound of %v for withdrawn keys can't be kept: entry VMs confirm the configuration every %v and serve callers with keys for %v after that, and the store's watches may hear nothing for %v",
				bounds.KeyRevocation, age, limit, deafTime))
		}
	}
	slices.SortStableFunc(k.findings, func(a, b Finding) int { return int(a.Severity) - int(b.Severity) })
	return k.findings
}

// checker collects findings.
type checker struct {
	c          Config
	findings   []Finding
	usedGroups map[core.GroupID]bool
}

func (k *checker) add(s Severity, line int, subject string, f Field, text string) {
	k.findings = append(k.findings, Finding{Severity: s, Line: line, Subject: subject, Field: f, Text: text})
}

func (k *checker) checkRoutes() {
	groups := make(map[core.GroupID]bool)
	for _, g := range k.c.Groups {
		groups[g.ID] = true
	}
	first := make(map[string]int)
	for _, r := range k.c.Routes {
		if line, ok := first[r.Database]; ok {
			k.add(Error, r.Line, r.Database, FieldDatabase, fmt.Sprintf("line %d has the same database; only one of the routes can match", line))
		} else {
			first[r.Database] = r.Line
		}
		k.usedGroups[r.Group] = true
		if r.Database == "" {
			k.add(Error, r.Line, "", FieldDatabase, "is missing")
		}
		if !groups[r.Group] {
			k.add(Error, r.Line, r.Database, FieldGroup, fmt.Sprintf("%q is not in the configuration; no statement of the route can be served", r.Group))
		}
		k.checkRouteLimits(r)
	}
}

func (k *checker) checkRouteLimits(r Route) {
	if !r.IsKnown {
		k.add(Error, r.Line, r.Database, FieldConsistency, "is unknown")
	}
	if r.StatementTimeout <= 0 {
		k.add(Error, r.Line, r.Database, FieldTimeout, "must be above 0, or every statement ends at once")
	}
	if r.MaxAge < 0 {
		k.add(Error, r.Line, r.Database, FieldMaxAge, "must not be negative")
	}
	if r.Objective < 0 {
		k.add(Error, r.Line, r.Database, FieldObjective, "must not be negative")
	}
	switch {
	case !r.IsKnown:
	case r.Reads == topo.Strict && r.MaxAge > 0:
		k.add(Warning, r.Line, r.Database, FieldMaxAge, "has no effect, since reads of this route are strict")
	case r.Reads != topo.Strict && r.MaxAge == 0:
		k.add(Warning, r.Line, r.Database, FieldMaxAge, "is 0, so that only the primary can serve reads")
	}
	if r.Public && !k.c.NeedsKeys {
		k.add(Warning, r.Line, r.Database, FieldPublic, "has no effect, since no organisation has keys")
	}
}

func (k *checker) checkGroups() {
	first := make(map[core.GroupID]int)
	for _, g := range k.c.Groups {
		if line, ok := first[g.ID]; ok {
			k.add(Error, g.Line, string(g.ID), FieldName, fmt.Sprintf("line %d has the same group", line))
		} else {
			first[g.ID] = g.Line
		}
		if g.Connections < 1 {
			k.add(Error, g.Line, string(g.ID), FieldConnections, "must be above 0, or no statement can be served")
		} else if n := len(k.c.Organisations); g.Connections < n/2 {
			k.add(Warning, g.Line, string(g.ID), FieldConnections, fmt.Sprintf("%d connections serve %d organisations, each of which needs its own: most statements open a new one", g.Connections, n))
		}
		if g.SyncReplicas < 0 {
			k.add(Error, g.Line, string(g.ID), FieldReplicas, "must not be negative")
		}
		if !k.usedGroups[g.ID] {
			k.add(Warning, g.Line, string(g.ID), FieldName, "no route leads to this group")
		}
	}
}

func (k *checker) checkOrganisations() {
	isKeyNeeded := slices.ContainsFunc(k.c.Routes, func(r Route) bool { return !r.Public })
	first := make(map[core.OrganisationID]int)
	owners := make(map[topo.KeyDigest]Organisation)
	for _, o := range k.c.Organisations {
		id := string(o.ID)
		if line, ok := first[o.ID]; ok {
			k.add(Error, o.Line, id, FieldName, fmt.Sprintf("line %d has the same organisation", line))
		} else {
			first[o.ID] = o.Line
		}
		if !o.IsValidName {
			k.add(Error, o.Line, id, FieldName, "can't be told to upstreams: it must be a word without blanks")
		}
		k.checkLimits(o)
		if len(o.Keys) == 0 {
			k.add(Warning, o.Line, id, FieldKeys, "there are none, so that no caller can work for this organisation")
		} else if !isKeyNeeded {
			k.add(Warning, o.Line, id, FieldKeys, "all routes are public: no caller needs a key, and no limit applies")
		}
		for i, key := range o.Keys {
			switch owner, ok := owners[key.Digest]; {
			case key.IsEmpty:
				k.add(Error, o.Line, id, FieldKeys, fmt.Sprintf("key %d is empty: it would let callers in that send none", i+1))
			case ok && owner.ID != o.ID:
				k.add(Error, o.Line, id, FieldKeys, fmt.Sprintf("key %d is also a key of %s in line %d", i+1, owner.ID, owner.Line))
			case ok:
				k.add(Warning, o.Line, id, FieldKeys, fmt.Sprintf("key %d is there twice", i+1))
			case !key.CanMatch:
				k.add(Warning, o.Line, id, FieldKeys, fmt.Sprintf("key %d can never match: no caller can send it", i+1))
			default:
				owners[key.Digest] = o
			}
		}
	}
}

// checkLimits checks rate and burst of an organisation.
func (k *checker) checkLimits(o Organisation) {
	id := string(o.ID)
	switch {
	case o.Rate < 0:
		k.add(Error, o.Line, id, FieldRate, "must not be negative")
	case o.Burst < 0:
		k.add(Error, o.Line, id, FieldBurst, "must not be negative")
	case o.Rate == 0 && o.Burst > 0:
		k.add(Warning, o.Line, id, FieldBurst, "has no effect without a rate")
	case o.Rate > 0 && o.Burst < 1:
		k.add(Warning, o.Line, id, FieldBurst, "is below one operation, so that callers wait even when nobody else works")
	case o.Rate > 0 && time.Duration(o.Burst/o.Rate*float64(time.Second)) > maxRefill:
		k.add(Warning, o.Line, id, FieldBurst, fmt.Sprintf("a burst of %g is available again only %v after its use, at %g operations a second",
			o.Burst, time.Duration(o.Burst/o.Rate*float64(time.Second)).Round(time.Second), o.Rate))
	}
}
