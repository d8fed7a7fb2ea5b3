package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"snipewall/core"
)

// maxProblems limits the number of problems that are reported at once.
const maxProblems = 100

// Problem is one cell or row that isn't accepted.
type Problem struct {
	// Row is the line in the file, starting at 1, or 0 for the whole table.
	Row int
	// Column is the name of the column, or empty for a whole row.
	Column string
	// Value is the rejected value.
	Value string
	// Accept describes the accepted values.
	Accept string
}

// String describes the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Row > 0 {
		fmt.Fprintf(&b, "row %d: ", p.Row)
	}
	if p.Column != "" {
		fmt.Fprintf(&b, "column %s: ", p.Column)
	}
	fmt.Fprintf(&b, "%q is not accepted, want %s", p.Value, p.Accept)
	return b.String()
}

// InvalidError lists the problems of a table.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "invalid table: " + strings.Join(lines, "; ")
}

// Parse parses and validates a table in CSV. Lines that start with # are comments. The error is an
// *InvalidError with the problems found, about 100 at most.
func Parse(data []byte) (*Table, error) {
	if len(data) > MaxBytes {
		return nil, invalid(Problem{Value: fmt.Sprintf("%d bytes", len(data)), Accept: fmt.Sprintf("at most %d bytes", MaxBytes)})
	}
	// Spreadsheet programs write a byte order mark before UTF-8.
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	p := parser{kinds: make(map[core.Kind]int)}
	p.reader = csv.NewReader(bytes.NewReader(data))
	p.reader.Comment = '#'
	p.reader.FieldsPerRecord = -1
	p.reader.TrimLeadingSpace = true
	p.reader.ReuseRecord = true
	if !p.header() {
		return nil, invalid(p.problems...)
	}
	for len(p.problems) < maxProblems && p.row() {
	}
	if len(p.problems) > 0 {
		return nil, invalid(p.problems...)
	}
	t := newTable(p.rows)
	// The canonical form fills empty cells, so it can be longer than the input.
	if n := len(t.CSV()); n > MaxBytes {
		return nil, invalid(Problem{Value: fmt.Sprintf("%d bytes with all cells filled", n), Accept: fmt.Sprintf("at most %d bytes", MaxBytes)})
	}
	return t, nil
}

func invalid(problems ...Problem) error {
	return core.ErrTable.Wrap(&InvalidError{Problems: problems})
}

// parser collects the rows and problems of one table.
type parser struct {
	reader *csv.Reader
	// columns holds, for each field of a record, the index into the package's columns.
	columns  []int
	rows     []core.KindPolicy
	kinds    map[core.Kind]int
	problems []Problem
}

func (p *parser) report(row int, column, value, accept string) {
	p.problems = append(p.problems, Problem{Row: row, Column: column, Value: value, Accept: accept})
}

// read returns the next record and its line, or false at the end of the input or after a CSV error.
func (p *parser) read() ([]string, int, bool) {
	record, err := p.reader.Read()
	if errors.Is(err, io.EOF) {
		return nil, 0, false
	}
	var broken *csv.ParseError
	if errors.As(err, &broken) {
		p.report(broken.Line, "", broken.Err.Error(), "CSV")
		return nil, 0, false
	}
	if err != nil {
		p.report(0, "", err.Error(), "CSV")
		return nil, 0, false
	}
	line, _ := p.reader.FieldPos(0)
	return record, line, true
}

func (p *parser) header() bool {
	names, line, ok := p.read()
	if !ok {
		if len(p.problems) == 0 {
			p.report(0, "", "", "a header with the columns "+strings.Join(columnNames(), ","))
		}
		return false
	}
	for _, name := range names {
		name = strings.TrimSpace(name)
		i := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
		switch {
		case i < 0:
			p.report(line, "", name, "one of the columns "+strings.Join(columnNames(), ","))
		case slices.Contains(p.columns, i):
			p.report(line, name, name, "each column once")
		}
		p.columns = append(p.columns, i)
	}
	if !slices.Contains(p.columns, 0) {
		p.report(line, columns[0].name, "", "a header with this column")
	}
	return len(p.problems) == 0
}

// row parses one row. It returns false at the end of the input.
func (p *parser) row() bool {
	record, line, ok := p.read()
	if !ok {
		return false
	}
	if len(record) != len(p.columns) {
		p.report(line, "", fmt.Sprintf("%d cells", len(record)), fmt.Sprintf("%d cells as in the header", len(p.columns)))
		return true
	}
	if len(p.rows) == MaxRows {
		p.report(line, "", fmt.Sprintf("row %d of the table", MaxRows+1), fmt.Sprintf("at most %d rows", MaxRows))
		return false
	}
	row := defaultRow()
	valid := true
	for i, cell := range record {
		c := columns[p.columns[i]]
		cell = strings.TrimSpace(cell)
		if cell == "" && p.columns[i] != 0 {
			continue
		}
		if !c.parse(cell, &row) {
			p.report(line, c.name, cell, c.accept)
			valid = false
		}
	}
	if valid {
		p.checkRow(line, row)
	}
	p.rows = append(p.rows, row)
	return true
}

// checkRow checks conditions that involve several cells or rows.
func (p *parser) checkRow(line int, row core.KindPolicy) {
	if first, ok := p.kinds[row.Kind]; ok {
		p.report(line, columns[0].name, string(row.Kind), fmt.Sprintf("each kind once, it is in row %d already", first))
		return
	}
	p.kinds[row.Kind] = line
	if row.QueueTime > row.Deadline {
		p.report(line, "QueueTime", row.QueueTime.String(), "at most the row's Deadline of "+row.Deadline.String())
	}
}
