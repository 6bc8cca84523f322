package emul

import "strings"

// statement is a parsed statement. It is one of the types below.
type statement interface{ statement() }

type (
	beginStmt    struct{}
	commitStmt   struct{}
	rollbackStmt struct{}
	emptyStmt    struct{}
	noopStmt     struct{ tag string }
	setStmt      struct{ tag, name, value string }
	discardStmt  struct{}
	showStmt     struct{ name string }
	callStmt     struct {
		name string
		args []operand
		from *callStmt // generate_series in FROM, which sets the number of rows; nil without FROM
	}
	constStmt  struct{ values []operand }
	selectStmt struct {
		table   string
		columns []string
		key     *operand
		limit   *operand
	}
	insertStmt struct {
		table      string
		key, value operand
		conflict   conflictRule
	}
	updateStmt struct {
		table string
		key   operand
		value operand
		add   bool // SET column = column + value
	}
	deleteStmt struct {
		table string
		key   operand
	}
)

type conflictRule int

const (
	conflictError conflictRule = iota
	conflictSkip
	conflictReplace
)

func (beginStmt) statement()    {}
func (commitStmt) statement()   {}
func (rollbackStmt) statement() {}
func (emptyStmt) statement()    {}
func (noopStmt) statement()     {}
func (setStmt) statement()      {}
func (discardStmt) statement()  {}
func (showStmt) statement()     {}
func (callStmt) statement()     {}
func (constStmt) statement()    {}
func (selectStmt) statement()   {}
func (insertStmt) statement()   {}
func (updateStmt) statement()   {}
func (deleteStmt) statement()   {}

// operand is a literal or a parameter.
type operand struct {
	text   string
	param  int // number of the parameter from 1, or 0 for a literal
	number bool
}

// value returns the text of the operand. Bind has checked the number of parameters.
func (o operand) value(params []string) string {
	if o.param == 0 {
		return o.text
	}
	return params[o.param-1]
}

// oid returns the type OID of the operand as a result column.
func (o operand) oid() uint32 {
	if o.number && !strings.Contains(o.text, ".") {
		return oidInt8
	}
	return oidText
}

// Columns of every table, and the aggregates over them.
const (
	keyColumn   = "k"
	valueColumn = "v"
	countColumn = "count"
	sumColumn   = "sum"
)

// isKeyColumn reports whether name refers to the key of a row. Every other name
// refers to its value.
func isKeyColumn(name string) bool {
	return name == keyColumn || name == "key" || name == "id"
}
