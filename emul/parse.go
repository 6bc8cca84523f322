package emul

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// parser parses the tokens of one statement.
type parser struct {
	tokens []sqlToken
	i      int
}

// parse parses one statement. It also returns the number of its parameters.
func parse(sql string) (statement, int, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, 0, err
	}
	params := 0
	for _, t := range tokens {
		if t.kind == paramToken {
			n, _ := strconv.Atoi(t.text)
			params = max(params, n)
		}
	}
	p := &parser{tokens: tokens}
	s, err := p.statement()
	if err == nil && p.i < len(p.tokens) {
		err = eris.Wrapf(errSyntax, "at or near %q", p.peek().text)
	}
	return s, params, err
}

// skipRest skips the rest of a statement, which the emulation ignores.
func (p *parser) skipRest() { p.i = len(p.tokens) }

func (p *parser) peek() sqlToken {
	if p.i < len(p.tokens) {
		return p.tokens[p.i]
	}
	return sqlToken{kind: symbolToken}
}

func (p *parser) next() sqlToken {
	t := p.peek()
	p.i++
	return t
}

// accept skips the given words or symbols if they come next, and reports whether
// they did.
func (p *parser) accept(texts ...string) bool {
	for n, text := range texts {
		if p.i+n >= len(p.tokens) {
			return false
		}
		t := p.tokens[p.i+n]
		if t.text != text || t.kind != wordToken && t.kind != symbolToken {
			return false
		}
	}
	p.i += len(texts)
	return true
}

func (p *parser) name() (string, error) {
	t := p.next()
	if t.kind != wordToken {
		return "", errSyntax
	}
	return t.text, nil
}

// operand parses a literal or parameter. A cast after it is ignored.
func (p *parser) operand() (operand, error) {
	o, err := p.plainOperand()
	if err == nil && p.accept(":", ":") {
		_, err = p.name()
	}
	return o, err
}

func (p *parser) plainOperand() (operand, error) {
	t := p.next()
	switch t.kind {
	case stringToken:
		return operand{text: t.text}, nil
	case numberToken:
		return operand{text: t.text, number: true}, nil
	case paramToken:
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 {
			return operand{}, errSyntax
		}
		return operand{param: n}, nil
	case symbolToken:
		if t.text == "-" && p.peek().kind == numberToken {
			return operand{text: "-" + p.next().text, number: true}, nil
		}
	}
	return operand{}, errSyntax
}

func (p *parser) statement() (statement, error) {
	t := p.next()
	if t.kind != wordToken {
		return nil, errSyntax
	}
	switch t.text {
	case "begin", "start":
		p.skipRest()
		return beginStmt{}, nil
	case "commit", "end":
		p.skipRest()
		return commitStmt{}, nil
	case "rollback", "abort":
		p.skipRest()
		return rollbackStmt{}, nil
	case "reset":
		name, err := p.name()
		return setStmt{tag: "RESET", name: name}, err
	case "discard":
		p.skipRest()
		return discardStmt{}, nil
	case "create", "drop", "deallocate", "analyze":
		return p.noopStatement(strings.ToUpper(t.text)), nil
	case "copy":
		return nil, errCopyUnsupported
	case "set":
		return p.setStatement()
	case "show":
		name, err := p.name()
		return showStmt{name: name}, err
	case "select":
		return p.selectStatement()
	case "insert":
		return p.insertStatement()
	case "update":
		return p.updateStatement()
	case "delete":
		return p.deleteStatement()
	}
	return nil, eris.Wrapf(errSyntax, "at or near %q", t.text)
}

// noopStatement parses a statement that has no effect here. Tables need not be
// created before they are used.
func (p *parser) noopStatement(tag string) statement {
	if tag == "CREATE" || tag == "DROP" {
		tag += " " + strings.ToUpper(p.peek().text)
	}
	p.skipRest()
	return noopStmt{tag: tag}
}

func (p *parser) setStatement() (statement, error) {
	if !p.accept("session") {
		p.accept("local")
	}
	name, err := p.name()
	if err != nil {
		return nil, err
	}
	s := setStmt{tag: "SET", name: name}
	if p.accept("=") || p.accept("to") {
		s.value = p.peek().text
	}
	p.skipRest()
	return s, nil
}

func (p *parser) selectStatement() (statement, error) {
	if t := p.peek(); t.kind != wordToken && t.text != "*" {
		return p.constStatement()
	}
	if p.functionAhead() {
		return p.callStatement()
	}
	columns, err := p.columns()
	if err != nil {
		return nil, err
	}
	if !p.accept("from") {
		return nil, errSyntax
	}
	if p.functionAhead() {
		return p.callStatement()
	}
	s := selectStmt{columns: columns}
	if s.table, err = p.name(); err != nil {
		return nil, err
	}
	if p.accept("where") {
		key, err := p.whereKey()
		if err != nil {
			return nil, err
		}
		s.key = &key
	}
	if err := p.orderAndLimit(&s); err != nil {
		return nil, err
	}
	return s, nil
}

// functionAhead reports whether the next tokens call a function that is not an
// aggregate.
func (p *parser) functionAhead() bool {
	if p.i+1 >= len(p.tokens) || p.tokens[p.i+1].text != "(" {
		return false
	}
	name := p.peek().text
	return name != countColumn && name != sumColumn
}

// columns parses the select list of a table.
func (p *parser) columns() ([]string, error) {
	var out []string
	for {
		switch {
		case p.accept("*"):
			out = append(out, keyColumn, valueColumn)
		case p.accept(countColumn, "(", "*", ")"):
			out = append(out, countColumn)
		case p.accept(sumColumn, "(", p.tokenAt(2), ")"):
			out = append(out, sumColumn)
		default:
			name, err := p.name()
			if err != nil {
				return nil, err
			}
			out = append(out, name)
		}
		if !p.accept(",") {
			return out, nil
		}
	}
}

func (p *parser) tokenAt(n int) string {
	if p.i+n < len(p.tokens) {
		return p.tokens[p.i+n].text
	}
	return ""
}

// orderAndLimit parses ORDER BY and LIMIT. ORDER BY has no effect, as rows are
// always ordered by key; DESC is rejected.
func (p *parser) orderAndLimit(s *selectStmt) error {
	if p.accept("order", "by") {
		if _, err := p.name(); err != nil {
			return err
		}
		if !p.accept("asc") && p.accept("desc") {
			return errSyntax
		}
	}
	if p.accept("limit") {
		n, err := p.operand()
		if err != nil {
			return err
		}
		s.limit = &n
	}
	return nil
}

func (p *parser) constStatement() (statement, error) {
	var values []operand
	for {
		v, err := p.operand()
		if err != nil {
			return nil, err
		}
		values = append(values, v)
		if !p.accept(",") {
			return constStmt{values: values}, nil
		}
	}
}

// callStatement parses a function call, with an optional FROM generate_series.
func (p *parser) callStatement() (statement, error) {
	s, err := p.functionCall()
	if err != nil || !p.accept("from") {
		return s, err
	}
	from, err := p.functionCall()
	if err == nil && from.name != seriesName {
		err = errSyntax
	}
	s.from = &from
	return s, err
}

func (p *parser) functionCall() (callStmt, error) {
	name, err := p.name()
	if err != nil {
		return callStmt{}, err
	}
	s := callStmt{name: name}
	if !p.accept("(") {
		return s, errSyntax
	}
	if p.accept(")") {
		return s, nil
	}
	for {
		arg, err := p.operand()
		if err != nil {
			return s, err
		}
		s.args = append(s.args, arg)
		if p.accept(")") {
			return s, nil
		}
		if !p.accept(",") {
			return s, errSyntax
		}
	}
}

// whereKey parses "column = operand" after WHERE.
func (p *parser) whereKey() (operand, error) {
	if _, err := p.name(); err != nil {
		return operand{}, err
	}
	if !p.accept("=") {
		return operand{}, errSyntax
	}
	return p.operand()
}

func (p *parser) insertStatement() (statement, error) {
	if !p.accept("into") {
		return nil, errSyntax
	}
	table, err := p.name()
	if err != nil {
		return nil, err
	}
	if p.accept("(") {
		for !p.accept(")") {
			if p.i >= len(p.tokens) {
				return nil, errSyntax
			}
			p.next()
		}
	}
	if !p.accept("values", "(") {
		return nil, errSyntax
	}
	s := insertStmt{table: table}
	if s.key, err = p.operand(); err != nil {
		return nil, err
	}
	if p.accept(",") {
		if s.value, err = p.operand(); err != nil {
			return nil, err
		}
	}
	if !p.accept(")") {
		return nil, errSyntax
	}
	s.conflict = p.conflictRule()
	return s, nil
}

func (p *parser) conflictRule() conflictRule {
	if !p.accept("on", "conflict") {
		return conflictError
	}
	rule := conflictSkip
	for ; p.i < len(p.tokens); p.i++ {
		if p.peek().text == "update" {
			rule = conflictReplace
		}
	}
	return rule
}

func (p *parser) updateStatement() (statement, error) {
	table, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.accept("set") {
		return nil, errSyntax
	}
	column, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.accept("=") {
		return nil, errSyntax
	}
	s := updateStmt{table: table, add: p.accept(column, "+")}
	if s.value, err = p.operand(); err != nil {
		return nil, err
	}
	if !p.accept("where") {
		return nil, errSyntax
	}
	s.key, err = p.whereKey()
	return s, err
}

func (p *parser) deleteStatement() (statement, error) {
	if !p.accept("from") {
		return nil, errSyntax
	}
	table, err := p.name()
	if err != nil {
		return nil, err
	}
	if !p.accept("where") {
		return nil, errSyntax
	}
	key, err := p.whereKey()
	return deleteStmt{table: table, key: key}, err
}
