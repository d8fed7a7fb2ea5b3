// Package stmt classifies SQL text with a lexer, without a parser and without knowledge of the schema.
// The lexer recognizes comments, all forms of strings and quoted names; the classifier examines words.
//
// The classification is conservative. A statement is a read only if it certainly changes nothing: a
// query without a locking clause and without a data-modifying WITH, which calls only functions known to
// have no side effects. Everything else is a write and goes to the primary. A statement that leaves
// state in its database session can't be served with transaction pooling; it is reported as unsupported
// with a hint.
//
// SET of snipewall.* parameters and of other parameters at session level, RESET and DISCARD aren't sent
// to an upstream. The listener executes them from Info.Locals.
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
