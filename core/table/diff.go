package table

import (
	"slices"
	"strings"

	"snipewall/core"
)

// Change is the change of one row. Before is nil for an added row and After for a removed one.
type Change struct {
	Kind   core.Kind
	Before *core.KindPolicy
	After  *core.KindPolicy
}

// String describes the change in one line, for example "~ quote: Weight 1 -> 2, Rate 0 -> 50".
func (c Change) String() string {
	if c.Before == nil && c.After == nil {
		return "  " + string(c.Kind) + ": unchanged"
	}
	if c.Before == nil {
		return "+ " + string(c.Kind) + ": " + describe(*c.After)
	}
	if c.After == nil {
		return "- " + string(c.Kind) + ": " + describe(*c.Before)
	}
	before, after := cells(*c.Before), cells(*c.After)
	var parts []string
	for i, name := range columnNames() {
		if before[i] != after[i] {
			parts = append(parts, name+" "+before[i]+" -> "+after[i])
		}
	}
	return "~ " + string(c.Kind) + ": " + strings.Join(parts, ", ")
}

func describe(row core.KindPolicy) string {
	list := cells(row)
	var parts []string
	for i, name := range columnNames() {
		if i > 0 {
			parts = append(parts, name+" "+list[i])
		}
	}
	return strings.Join(parts, ", ")
}

// Changes is a list of changes, sorted by kind.
type Changes []Change

// String describes each change on its own line.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

func (c Changes) find(kind core.Kind) *Change {
	i := slices.IndexFunc(c, func(change Change) bool { return change.Kind == kind })
	if i < 0 {
		return nil
	}
	return &c[i]
}

// Diff returns the changes that turn a into b. A nil table has no rows.
func Diff(a, b *Table) Changes {
	var list Changes
	old, next := a.Kinds(), b.Kinds()
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].Kind < next[0].Kind):
			list = append(list, Change{Kind: old[0].Kind, Before: &old[0]})
			old = old[1:]
		case len(old) == 0 || next[0].Kind < old[0].Kind:
			list = append(list, Change{Kind: next[0].Kind, After: &next[0]})
			next = next[1:]
		default:
			if old[0] != next[0] {
				list = append(list, Change{Kind: old[0].Kind, Before: &old[0], After: &next[0]})
			}
			old, next = old[1:], next[1:]
		}
	}
	return list
}
