package dbsim

// Statement is one parsed SQL statement.
type Statement interface {
	// Tag returns the command tag without row counts, for example "INSERT".
	Tag() string
}

// ExprKind is the kind of an expression.
type ExprKind uint8

// Kinds of expressions.
const (
	ExprLiteral ExprKind = iota
	ExprParam
	ExprColumn
	// ExprBinary is Left Op Right, with Op + or -.
	ExprBinary
	// ExprCall is Func(Args).
	ExprCall
)

// Expr is an expression. Kind determines which fields are used. Cast is TypeNull if there is no cast.
type Expr struct {
	Kind    ExprKind
	Literal Value
	// Param is the number of a parameter, from 1.
	Param  int
	Column string
	Op     byte
	Left   *Expr
	Right  *Expr
	Func   string
	Args   []*Expr
	Cast   Type
}

// Column is a column of a table.
type Column struct {
	Name    string
	Type    Type
	Primary bool
	NotNull bool
	Default Value
	// Serial makes an INSERT without a value take the next number, from 1.
	Serial bool
}

// Cond is one condition of a WHERE clause: Column Op Value, or IS [NOT] NULL.
type Cond struct {
	Column string
	// Op is =, <>, <, <=, >, >=, "is null" or "is not null".
	Op    string
	Value *Expr
}

// Order is one term of an ORDER BY clause.
type Order struct {
	Column string
	Desc   bool
}

// Assign is one assignment of an UPDATE.
type Assign struct {
	Column string
	Value  *Expr
}

// Item is one output column of a SELECT or RETURNING: all columns, an aggregate or an expression.
type Item struct {
	Star bool
	// Aggregate is count, sum, min, max or empty. The column of count(*) is empty.
	Aggregate string
	Expr      *Expr
	Alias     string
}

// Statements of the SQL subset.
type (
	// CreateTable is CREATE TABLE.
	CreateTable struct {
		Table       string
		IfNotExists bool
		Columns     []Column
	}
	// DropTable is DROP TABLE.
	DropTable struct {
		Table    string
		IfExists bool
	}
	// Insert is INSERT.
	Insert struct {
		Table   string
		Columns []string
		Rows    [][]*Expr
		// SkipDuplicates stands for ON CONFLICT DO NOTHING.
		SkipDuplicates bool
		Returning      []Item
	}
	// Select is SELECT, with or without a table.
	Select struct {
		Items     []Item
		Table     string
		Where     []Cond
		Order     []Order
		Limit     *Expr
		ForUpdate bool
	}
	// Update is UPDATE.
	Update struct {
		Table     string
		Set       []Assign
		Where     []Cond
		Returning []Item
	}
	// Delete is DELETE.
	Delete struct {
		Table     string
		Where     []Cond
		Returning []Item
	}
	// Call is a call of a function of the schema snipewall.
	Call struct {
		Func string
		Args []*Expr
	}
	// Begin is BEGIN or START TRANSACTION.
	Begin struct{ ReadOnly bool }
	// Commit is COMMIT or END.
	Commit struct{}
	// Rollback is ROLLBACK or ABORT.
	Rollback struct{}
	// Set is SET.
	Set struct{ Name, Value string }
	// Show is SHOW.
	Show struct{ Name string }
	// Reset is RESET, DISCARD or DEALLOCATE. Whatever its argument, it clears all settings; DISCARD and
	// DEALLOCATE also drop all prepared statements.
	Reset struct{ Command string }
)

// Tag implements Statement.
func (*CreateTable) Tag() string { return "CREATE TABLE" }

// Tag implements Statement.
func (*DropTable) Tag() string { return "DROP TABLE" }

// Tag implements Statement.
func (*Insert) Tag() string { return "INSERT" }

// Tag implements Statement.
func (*Select) Tag() string { return "SELECT" }

// Tag implements Statement.
func (*Update) Tag() string { return "UPDATE" }

// Tag implements Statement.
func (*Delete) Tag() string { return "DELETE" }

// Tag implements Statement.
func (*Call) Tag() string { return "SELECT" }

// Tag implements Statement.
func (*Begin) Tag() string { return "BEGIN" }

// Tag implements Statement.
func (*Commit) Tag() string { return "COMMIT" }

// Tag implements Statement.
func (*Rollback) Tag() string { return "ROLLBACK" }

// Tag implements Statement.
func (*Set) Tag() string { return "SET" }

// Tag implements Statement.
func (*Show) Tag() string { return "SHOW" }

// Tag implements Statement.
func (s *Reset) Tag() string { return s.Command }

// isWrite reports whether the statement changes data or schema.
func isWrite(s Statement) bool {
	switch s := s.(type) {
	case *CreateTable, *DropTable, *Insert, *Update, *Delete:
		return true
	case *Select:
		return s.ForUpdate
	}
	return false
}
