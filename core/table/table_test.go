package table

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

func mustParse(t testing.TB, text string) *Table {
	t.Helper()
	tab, err := Parse([]byte(text))
	assert.NilError(t, err)
	return tab
}

// Guards against defaults that differ from the documented ones, and against a canonical form that depends
// on the order of rows or columns.
func TestParseCanonical(t *testing.T) {
	tab := mustParse(t, "\xef\xbb\xbf# Version: 7\nRank, Kind ,Rate,QueueTime\nurgent,start,2.50,250ms\n,quote,,\n")
	want := "Kind,Rank,Weight,Concurrency,Rate,QueueTime,AcceptedAge,Idempotent,Deadline\n" +
		"quote,middle,1,0,0,1s,0s,false,10s\n" +
		"start,urgent,1,0,2.5,250ms,0s,false,10s\n"
	assert.Equal(t, string(tab.CSV()), want)
	assert.Assert(t, mustParse(t, want).Equal(tab))
	p, ok := tab.Policy("start")
	assert.Assert(t, ok)
	assert.DeepEqual(t, p, core.KindPolicy{
		Kind: "start", Rank: core.RankUrgent, Weight: 1, Rate: 2.5,
		QueueTime: 250 * time.Millisecond, Deadline: 10 * time.Second,
	})
	_, ok = tab.Policy("absent")
	assert.Assert(t, !ok)
}

// Guards against errors that name neither the location nor the accepted values, and against a table of
// which only a part is checked.
func TestParseProblems(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"empty", "", "a header with the columns Kind,Rank"},
		{"unknown column", "Kind,Colour\nquote,red\n", `row 1: "Colour" is not accepted, want one of the columns Kind,Rank`},
		{"column twice", "Kind,Rank,Rank\n", `row 1: column Rank: "Rank" is not accepted, want each column once`},
		{"no kind column", "Rank\nlast\n", `column Kind: "" is not accepted, want a header with this column`},
		{"no kind", "Kind,Rank\n,last\n", `row 2: column Kind: "" is not accepted, want 1 to 64 of`},
		{"bad kind", "Kind\na b\n", `row 2: column Kind: "a b" is not accepted`},
		{"kind twice", "Kind\nquote\n\nquote\n", `row 4: column Kind: "quote" is not accepted, want each kind once, it is in row 2 already`},
		{"rank", "Kind,Rank\nquote,high\n", `row 2: column Rank: "high" is not accepted, want urgent, middle or last`},
		{"negative limit", "Kind,Concurrency\nquote,-1\n", `row 2: column Concurrency: "-1" is not accepted, want a whole number from 0 to 100000`},
		{"weight", "Kind,Weight\nquote,0\n", `want a whole number from 1 to 1000`},
		{"rate", "Kind,Rate\nquote,NaN\n", `row 2: column Rate: "NaN" is not accepted`},
		{"duration", "Kind,Deadline\nquote,10\n", `row 2: column Deadline: "10" is not accepted, want a duration with its unit from 10ms to 1h0m0s`},
		{"idempotent", "Kind,Idempotent\nquote,yes\n", `want true or false`},
		{"queue time", "Kind,QueueTime,Deadline\nquote,2s,1s\n", `row 2: column QueueTime: "2s" is not accepted, want at most the row's Deadline of 1s`},
		{"cells", "Kind,Rank\nquote\n", `row 2: "1 cells" is not accepted, want 2 cells`},
		{"quotes", "Kind,Rank\nquote,\"last\n", `want CSV`},
		{"rows", "Kind\n" + manyRows(MaxRows+1), `row 2002: "row 2001 of the table" is not accepted, want at most 2000 rows`},
		{"size", strings.Repeat("#", MaxBytes+1), "want at most 262144 bytes"},
		{"filled size", longRows(), "bytes with all cells filled"},
		{"all problems", "Kind,Rank,Weight\nquote,high,0\nstart,low,1\n", `row 3: column Rank: "low"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse([]byte(tt.text))
			var invalid *InvalidError
			assert.Assert(t, errors.As(err, &invalid), "%v", err)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func manyRows(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "k%d\n", i)
	}
	return b.String()
}

// longRows returns a table that only exceeds the maximum length once all cells are filled.
func longRows() string {
	b := strings.Builder{}
	b.WriteString("Kind,Rate,Concurrency,AcceptedAge\n")
	for i := range MaxRows {
		fmt.Fprintf(&b, "%064d,0.0010000000000000002,100000,16m39.999999999s\n", i)
	}
	return b.String()
}

func TestDiff(t *testing.T) {
	a := mustParse(t, "Kind,Weight,Rate\nold,1,0\nquote,1,0\nsame,1,0\n")
	b := mustParse(t, "Kind,Weight,Rate\nnew,3,0\nquote,2,50\nsame,1,0\n")
	want := "+ new: Rank middle, Weight 3, Concurrency 0, Rate 0, QueueTime 1s, AcceptedAge 0s, Idempotent false, Deadline 10s\n" +
		"- old: Rank middle, Weight 1, Concurrency 0, Rate 0, QueueTime 1s, AcceptedAge 0s, Idempotent false, Deadline 10s\n" +
		"~ quote: Weight 1 -> 2, Rate 0 -> 50"
	assert.Equal(t, Diff(a, b).String(), want)
	assert.Equal(t, len(Diff(b, b)), 0)
}

func TestParseCheckout(t *testing.T) {
	c := Checkout{Version: 7, Table: mustParse(t, "Kind\nquote\n")}
	got, named, err := ParseCheckout(c.File())
	assert.NilError(t, err)
	assert.Assert(t, named && got.Version == 7 && got.Table.Equal(c.Table))
	_, named, err = ParseCheckout(c.Table.CSV())
	assert.Assert(t, err == nil && !named)
	_, _, err = ParseCheckout(append([]byte("# Version: 6\n"), c.File()...))
	assert.ErrorContains(t, err, "want one comment # Version: N")
}

// Guards against a table that is accepted but can't be parsed from its canonical form.
func FuzzParse(f *testing.F) {
	f.Add([]byte("Kind,Rank,Weight,Concurrency,Rate,QueueTime,AcceptedAge,Idempotent,Deadline\nquote,last,1,2,0.5,1s,2m,true,3s\n"))
	f.Add([]byte("# Version: 7\nKind\n\"a\"\n"))
	f.Add([]byte("Rate,Kind\n-0,x\n1e3,y\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		tab, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(tab.CSV())
		assert.NilError(t, err)
		assert.Assert(t, tab.Equal(again))
		assert.Equal(t, string(tab.CSV()), string(again.CSV()))
		r := (&record{}).next(1, "edit", tab)
		value, err := r.encode()
		assert.NilError(t, err)
		_, err = decodeRecord(value)
		assert.NilError(t, err)
	})
}

// Guards against a record from the store or a peer that crashes an entry VM, or whose history can't be
// restored to a valid table.
func FuzzDecodeRecord(f *testing.F) {
	tab := mustParse(f, "Kind\nquote\n")
	value, err := (&record{}).next(1, "edit", tab).encode()
	assert.NilError(f, err)
	f.Add(value)
	f.Add([]byte(`{"Version":3,"Edit":"b","Table":"Kind\na\n","Recent":[{"Version":2,"Before":"Kind\nb\n","Added":["a"]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		for v := range r.Version {
			if v > 70 {
				break
			}
			if base, _, err := r.restore(v); err == nil {
				_, _ = planEdit(r, Edit{ID: "x", Base: v, Table: base, Merge: true})
			}
		}
		if _, err := r.next(r.Version+1, "x", r.table).encode(); err != nil {
			assert.ErrorContains(t, err, "want at most")
		}
	})
}
