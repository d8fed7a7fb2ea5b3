// Package stmt classifies SQL text by lexing it, without a parser and without knowledge of the
// schema. It recognizes comments, strings in all their forms and quoted names, and looks at words.
//
// The classification is conservative. A statement is a read only if it evidently changes nothing:
// a query without a locking clause, without a data-modifying WITH, and that calls only functions
// known to be free of side effects. Everything else is a write and goes to the primary. A
// statement that leaves state behind in its database session can't be served by a pool that works
// by transaction, and is unsupported with a hint.
//
// Settings of snipewall.* parameters, other settings at session level, RESET and DISCARD aren't
// sent to an upstream; the listener executes them from Info.Locals.
//
// # Usage
//
//	tags, head, err := stmt.ParseTags(sql)
//	if err != nil {
//		return err
//	}
//	info := stmt.Classify(sql[head:])
//	if info.Unsupported != nil {
//		return info.Unsupported
//	}
//	req.Class = info.Class
package stmt
