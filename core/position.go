package core

import (
	"fmt"
	"strconv"
	"strings"
)

// Term is the number of a primary's period in a group. Each promotion uses a higher one.
type Term uint64

// Offset counts the committed transactions in a group's log.
type Offset uint64

// Position is a position in a group's log. The zero value is before the first entry.
type Position struct {
	Term   Term
	Offset Offset
}

// IsZero reports whether the position is before the first entry.
func (p Position) IsZero() bool { return p == Position{} }

// Covers reports whether a log whose last entry is at p contains the confirmed entry at q. Both
// the term and the offset must be at least as high: an old primary's unconfirmed tail can have a
// higher offset in a lower term.
func (p Position) Covers(q Position) bool { return p.Term >= q.Term && p.Offset >= q.Offset }

// Less orders positions by term, then by offset, as promotion compares them.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// Max returns a position that covers both p and q, if both are confirmed.
func (p Position) Max(q Position) Position {
	return Position{Term: max(p.Term, q.Term), Offset: max(p.Offset, q.Offset)}
}

// String formats the position as TERM/OFFSET, which ParsePosition reads.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(uint64(p.Offset), 10)
}

// ParsePosition parses TERM/OFFSET, two decimal numbers.
func ParsePosition(s string) (Position, error) {
	termText, offsetText, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q: want TERM/OFFSET", s)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term: %w", s, err)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset: %w", s, err)
	}
	return Position{Term: Term(term), Offset: Offset(offset)}, nil
}
