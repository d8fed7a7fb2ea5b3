package stmt

import (
	"snipewall/core"
)

// Info is what the classifier knows about a text, which may contain several statements.
type Info struct {
	// Class is the strongest class of the statements. A text that opens a transaction has the class
	// of its BEGIN, even if it ends the transaction too.
	Class core.Class
	// Statements is the number of statements; 0 for a text of blanks and comments only.
	Statements int
	// Begins tells that the text opens a transaction.
	Begins bool
	// Ends tells that the text commits or rolls back, and Commits that it commits.
	Ends, Commits bool
	// Writes tells that the text contains a write, whatever its class.
	Writes bool
	// NeedsTx names a function that depends on the state of the database session, such as currval,
	// and therefore has a meaning only inside a transaction.
	NeedsTx string
	// Locals holds the statements that the listener executes itself. A text that mixes them with
	// other statements is unsupported.
	Locals []Local
	// Unsupported tells why the text can't be served, or is nil.
	Unsupported *UnsupportedError
}

// Append returns the info of a text or batch that continues with next.
func (i Info) Append(next Info) Info {
	if i.Ends && next.Begins {
		i.refuse(errTwoTransactions)
	}
	readOnly := (i.Class == core.ClassBeginRead || !i.Begins) &&
		(next.Class == core.ClassBeginRead || !next.Begins)
	i.Statements += next.Statements
	i.Begins = i.Begins || next.Begins
	i.Ends = i.Ends || next.Ends
	i.Commits = i.Commits || next.Commits
	i.Writes = i.Writes || next.Writes
	if i.NeedsTx == "" {
		i.NeedsTx = next.NeedsTx
	}
	if next.Unsupported != nil {
		i.refuse(next.Unsupported)
	}
	i.Class = i.strongest(readOnly)
	return i
}

// strongest returns the class of everything in the text together.
func (i *Info) strongest(readOnly bool) core.Class {
	switch {
	case i.Begins && readOnly && !i.Writes:
		return core.ClassBeginRead
	case i.Begins:
		return core.ClassBegin
	case i.Writes:
		return core.ClassWrite
	case i.Ends:
		return core.ClassEnd
	}
	return core.ClassRead
}

// refuse records the first reason why the text can't be served.
func (i *Info) refuse(err *UnsupportedError) {
	if i.Unsupported == nil {
		i.Unsupported = err
	}
}

// Action is what a Local does.
type Action uint8

// Actions of statements that the listener executes.
const (
	// ActionSet sets a parameter for the session.
	ActionSet Action = iota
	// ActionShow shows a snipewall.* parameter.
	ActionShow
	// ActionReset resets the parameter Name, or all parameters if Name is "all".
	ActionReset
	// ActionDiscard discards a part of the session's state; Name is "all", "plans", "sequences" or
	// "temp".
	ActionDiscard
)

// Local is a statement that the listener executes itself.
type Local struct {
	Action Action
	// Name is the parameter in lower case.
	Name string
	// Value is the new value; lists are joined by ", ".
	Value string
	// Default tells that the parameter is set to its default.
	Default bool
}

// UnsupportedError tells that a statement can't be served through a pool that works by transaction.
type UnsupportedError struct {
	// Statement names the statement, for example "LISTEN".
	Statement string
	// Hint tells what to do instead.
	Hint string
}

func (e *UnsupportedError) Error() string { return e.Statement + " is not supported" }

func unsupported(statement, hint string) *UnsupportedError {
	return &UnsupportedError{Statement: statement, Hint: hint}
}

// Statements that leave state behind in their database session, or need one of their own.
var (
	errListen  = unsupported("LISTEN", "Poll a table, or listen on a direct connection to the database.")
	errNotify  = unsupported("NOTIFY", "Write to a table that the receivers poll.")
	errPrepare = unsupported("PREPARE",
		"Prepare statements with the extended query protocol, as drivers do.")
	errTwoPhase = unsupported("PREPARE TRANSACTION",
		"Commit on one database, and repeat writes safely with snipewall.request_id.")
	errTemp = unsupported("a temporary table, view or sequence",
		"Use WITH queries, arrays or an ordinary table.")
	errAdvisory = unsupported("a session-level advisory lock",
		"Use pg_advisory_xact_lock inside a transaction.")
	errHold = unsupported("DECLARE ... WITH HOLD",
		"Use a cursor without hold inside a transaction, or LIMIT with keyset pagination.")
	errCopy      = unsupported("COPY", "Use INSERT with several rows, or SELECT.")
	errLoad      = unsupported("LOAD", "Set shared_preload_libraries on the server.")
	errSetConfig = unsupported("set_config for the session",
		"Pass true as the third argument inside a transaction.")
	errSetRole = unsupported("SET ROLE or SET SESSION AUTHORIZATION",
		"Use SET LOCAL ROLE inside a transaction.")
	errCharacteristics = unsupported("SET SESSION CHARACTERISTICS",
		"Give the characteristics with BEGIN.")
	errSetLocal = unsupported("SET LOCAL of a snipewall parameter",
		"Use SET, or a comment tag at the head of one statement.")
	errSetSyntax = unsupported("this form of SET",
		"Use SET name = value, or SET LOCAL inside a transaction.")
	errChain = unsupported("AND CHAIN",
		"Send COMMIT or ROLLBACK, then BEGIN, as separate statements.")
	errTwoTransactions = unsupported("BEGIN after COMMIT or ROLLBACK in one query string",
		"Send each transaction in query strings of its own.")
	errMixed = unsupported("SET, SHOW, RESET or DISCARD together with other statements in one query string",
		"Send it in a query string of its own, or use SET LOCAL inside a transaction.")
)
