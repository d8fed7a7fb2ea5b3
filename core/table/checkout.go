package table

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"

	"snipewall/core"
)

// Checkout is a table and the version at which it was read.
type Checkout struct {
	Version core.Version
	Edit    core.EditID
	Table   *Table
}

// versionLine matches the comment with the version in the file of a checkout.
var versionLine = regexp.MustCompile(`(?m)^# Version: ([0-9]+)[ \t]*\r?$`)

// File returns the checkout in the form that an operator edits: CSV, with the version in a comment, so
// that an edit names the version on which it is based.
func (c Checkout) File() []byte {
	return append(fmt.Appendf(nil, "# Version: %d\n", c.Version), c.Table.CSV()...)
}

// ParseCheckout parses the output of File, possibly edited. It returns false if the file doesn't name a
// version.
func ParseCheckout(data []byte) (Checkout, bool, error) {
	t, err := Parse(data)
	if err != nil {
		return Checkout{}, false, err
	}
	match := versionLine.FindAllSubmatch(data, 2)
	if len(match) == 0 {
		return Checkout{Table: t}, false, nil
	}
	version, err := strconv.ParseUint(string(match[0][1]), 10, 64)
	if err != nil || len(match) > 1 {
		return Checkout{}, false, invalid(Problem{Value: string(bytes.TrimSpace(match[0][0])), Accept: "one comment # Version: N"})
	}
	return Checkout{Version: core.Version(version), Table: t}, true, nil
}

func sortRows(rows []ConflictRow) {
	slices.SortFunc(rows, func(a, b ConflictRow) int { return cmp.Compare(a.Kind, b.Kind) })
}
