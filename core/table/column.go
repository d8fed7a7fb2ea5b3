package table

import (
	"fmt"
	"strconv"
	"time"

	"snipewall/core"
)

// Limits and defaults of the columns.
const (
	maxKindLength = 64

	defaultRank = core.RankMiddle

	defaultWeight = 1
	maxWeight     = 1000

	maxConcurrency = 100_000
	// minRate keeps the canonical form of a rate short.
	minRate = 0.001
	maxRate = 1e6

	defaultQueueTime = time.Second
	minQueueTime     = time.Millisecond
	maxQueueTime     = time.Minute

	maxAcceptedAge = time.Hour

	defaultDeadline = 10 * time.Second
	minDeadline     = 10 * time.Millisecond
	maxDeadline     = time.Hour
)

// column describes one column of the table.
type column struct {
	name string
	// accept describes the accepted values to an operator.
	accept string
	// parse sets the column from a non-empty cell. It returns false if the value isn't accepted.
	parse func(cell string, row *core.KindPolicy) bool
	// format returns the value in canonical form.
	format func(row core.KindPolicy) string
}

// columns lists all columns in canonical order. The first one is the key of a row.
var columns = []column{
	{
		name:   "Kind",
		accept: fmt.Sprintf("1 to %d of a-z A-Z 0-9 . _ -", maxKindLength),
		parse: func(cell string, row *core.KindPolicy) bool {
			row.Kind = core.Kind(cell)
			return isKind(cell)
		},
		format: func(row core.KindPolicy) string { return string(row.Kind) },
	},
	{
		name:   "Rank",
		accept: "urgent, middle or last",
		parse: func(cell string, row *core.KindPolicy) (ok bool) {
			row.Rank, ok = core.ParseRank(cell)
			return ok
		},
		format: func(row core.KindPolicy) string { return row.Rank.String() },
	},
	intColumn("Weight", 1, maxWeight, func(row *core.KindPolicy) *int { return &row.Weight }),
	intColumn("Concurrency", 0, maxConcurrency, func(row *core.KindPolicy) *int { return &row.Concurrency }),
	{
		name:   "Rate",
		accept: fmt.Sprintf("%g to %d per second, or 0 for no limit", minRate, int(maxRate)),
		parse: func(cell string, row *core.KindPolicy) bool {
			rate, err := strconv.ParseFloat(cell, 64)
			// Adding 0 turns -0 into 0, so that the value has one canonical form.
			row.Rate = rate + 0
			return err == nil && (rate == 0 || rate >= minRate && rate <= maxRate)
		},
		format: func(row core.KindPolicy) string { return strconv.FormatFloat(row.Rate, 'f', -1, 64) },
	},
	durationColumn("QueueTime", minQueueTime, maxQueueTime, func(row *core.KindPolicy) *time.Duration { return &row.QueueTime }),
	durationColumn("AcceptedAge", 0, maxAcceptedAge, func(row *core.KindPolicy) *time.Duration { return &row.AcceptedAge }),
	{
		name:   "Idempotent",
		accept: "true or false",
		parse: func(cell string, row *core.KindPolicy) bool {
			row.Idempotent = cell == "true"
			return cell == "true" || cell == "false"
		},
		format: func(row core.KindPolicy) string { return strconv.FormatBool(row.Idempotent) },
	},
	durationColumn("Deadline", minDeadline, maxDeadline, func(row *core.KindPolicy) *time.Duration { return &row.Deadline }),
}

func intColumn(name string, low, high int, field func(*core.KindPolicy) *int) column {
	return column{
		name:   name,
		accept: fmt.Sprintf("a whole number from %d to %d", low, high),
		parse: func(cell string, row *core.KindPolicy) bool {
			n, err := strconv.Atoi(cell)
			*field(row) = n
			return err == nil && n >= low && n <= high
		},
		format: func(row core.KindPolicy) string { return strconv.Itoa(*field(&row)) },
	}
}

func durationColumn(name string, low, high time.Duration, field func(*core.KindPolicy) *time.Duration) column {
	return column{
		name:   name,
		accept: fmt.Sprintf("a duration with its unit from %s to %s, such as 250ms", low, high),
		parse: func(cell string, row *core.KindPolicy) bool {
			d, err := time.ParseDuration(cell)
			*field(row) = d
			return err == nil && d >= low && d <= high
		},
		format: func(row core.KindPolicy) string { return field(&row).String() },
	}
}

// defaultRow returns the row for empty cells.
func defaultRow() core.KindPolicy {
	return core.KindPolicy{
		Rank:      defaultRank,
		Weight:    defaultWeight,
		QueueTime: defaultQueueTime,
		Deadline:  defaultDeadline,
	}
}

func isKind(s string) bool {
	if s == "" || len(s) > maxKindLength {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}

func columnNames() []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

func cells(row core.KindPolicy) []string {
	list := make([]string, len(columns))
	for i, c := range columns {
		list[i] = c.format(row)
	}
	return list
}
