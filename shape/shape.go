// Package shape classifies SQL statements by their effect and computes a fingerprint
// of the normalized text. It reads the text once, in linear time, and treats every
// statement that it cannot prove to be a read as a write.
//
// The analysis is lexical. It does not detect side effects of views, of user-defined
// operators and casts, of user-defined overloads of the listed functions, or of
// functions that are called in the notation of a column. Replicas therefore have to
// reject writes themselves.
package shape

import "strings"

// Kind is the effect of a statement, as far as the proxy has to distinguish it.
type Kind uint8

// The kinds of statements. Other is treated as a write.
const (
	Other Kind = iota
	Empty
	Read
	Write
	Begin
	Commit
	Rollback
	Set
	Show
	Copy
)

var kindNames = [...]string{
	"other", "empty", "read", "write", "begin", "commit", "rollback", "set", "show", "copy",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "other"
}

// SettingPrefix is the prefix of the names of the settings that the proxy handles itself.
const SettingPrefix = "tamarackcross."

// Statement is a classified statement.
type Statement struct {
	text        string
	name        string
	value       string
	fingerprint uint64
	kind        Kind
	readOnly    bool
	chain       bool
	local       bool
	reset       bool
	pins        bool
}

// Kind returns the kind of the statement.
func (s Statement) Kind() Kind { return s.kind }

// Fingerprint returns the hash of the normalized text. Statements that differ only in
// literals, parameters, the length of IN lists, white space, comments and the case of
// unquoted words have the same fingerprint, on every instance.
func (s Statement) Fingerprint() uint64 { return s.fingerprint }

// Text returns the text of the statement without its semicolon.
func (s Statement) Text() string { return s.text }

// ReadOnly reports whether a Begin starts a read-only transaction, or a SET TRANSACTION
// makes the current one read-only.
func (s Statement) ReadOnly() bool { return s.readOnly }

// Chain reports whether a Commit or Rollback starts the next transaction (AND CHAIN).
func (s Statement) Chain() bool { return s.chain }

// Name returns the lower-case name of the setting of a Set or Show.
func (s Statement) Name() string { return s.name }

// Value returns the value of a Set. A single literal is returned without quotes.
func (s Statement) Value() string { return s.value }

// Local reports whether a Set has effect only until the end of the transaction.
func (s Statement) Local() bool { return s.local }

// Reset reports whether a Set returns the setting to its default.
func (s Statement) Reset() bool { return s.reset }

// Pins reports whether the statement leaves state on its connection that later
// statements of the session depend on.
func (s Statement) Pins() bool { return s.pins }

// IsProxySetting reports whether a Set or Show names a setting that the proxy handles
// itself.
func (s Statement) IsProxySetting() bool { return strings.HasPrefix(s.name, SettingPrefix) }

// Classifier classifies statements. It is safe for concurrent use.
type Classifier struct {
	calls map[string]callKind
}

// Option sets a parameter of a Classifier.
type Option func(*Classifier)

// WithFunctions adds functions that have no side effects. The names are unqualified and
// in lower case.
func WithFunctions(names ...string) Option {
	return func(c *Classifier) {
		for _, name := range names {
			c.calls[name] = callPure
		}
	}
}

// New returns a Classifier that knows the built-in functions of PostgreSQL.
func New(opts ...Option) *Classifier {
	c := &Classifier{calls: knownCalls()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

var defaultClassifier = New()

// Classify classifies one statement with the default Classifier. A text with several
// statements is Other; use Split for these.
func Classify(sql string) Statement { return defaultClassifier.Classify(sql) }

// Split classifies each non-empty statement of a simple query with the default
// Classifier.
func Split(sql string) []Statement { return defaultClassifier.Split(sql) }

// Classify classifies one statement. A text with several statements is Other.
func (c *Classifier) Classify(sql string) Statement {
	first, rest := c.nextStatement(sql)
	for rest != "" {
		var more Statement
		more, rest = c.nextStatement(rest)
		if first.kind == Empty {
			first = more
			continue
		}
		if more.kind != Empty {
			return Statement{
				text:        sql,
				kind:        Other,
				pins:        first.pins || more.pins,
				fingerprint: combineHashes(first.fingerprint, more.fingerprint),
			}
		}
	}
	return first
}

// Split classifies each non-empty statement of a simple query.
func (c *Classifier) Split(sql string) []Statement {
	var list []Statement
	for rest := sql; rest != ""; {
		var s Statement
		if s, rest = c.nextStatement(rest); s.kind != Empty {
			list = append(list, s)
		}
	}
	return list
}

// nextStatement classifies the first statement of sql and returns the text after its
// semicolon.
func (c *Classifier) nextStatement(sql string) (Statement, string) {
	j := analyzer{calls: c.calls, scan: scanner{text: sql}, hash: hashOffset}
	end := len(sql)
	for {
		t := j.scan.next()
		if t.kind == tokenEnd {
			break
		}
		if t.kind == tokenPunct && sql[t.start] == ';' && j.atTopLevel() {
			end = t.start
			break
		}
		j.addToken(t)
	}
	s := j.statement(sql[:end])
	return s, sql[min(end+1, len(sql)):]
}
