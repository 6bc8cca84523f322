package entry

import (
	"maps"
	"slices"
	"strings"

	"tamarackcross/errs"
)

// Limits of the settings that a session may carry from one backend connection
// to the next.
const (
	maxVars     = 16
	maxVarBytes = 1024
)

// sessionVars are the settings of a session that belong to the backend server.
// They are applied to each connection that the session borrows, so that they do
// not tie the session to one connection. The zero value is empty.
type sessionVars struct {
	values  map[string]string // name -> quoted value
	start   map[string]string // those of the startup message, to which RESET returns
	applied string            // statement that sets them all, "" when there are none
}

// put records a setting with a plain value.
func (v *sessionVars) put(name, value string) error {
	return v.putQuoted(name, "'"+strings.ReplaceAll(value, "'", "''")+"'")
}

// putQuoted records a setting whose value is already an SQL literal.
func (v *sessionVars) putQuoted(name, literal string) error {
	if !isIdentifier(name) || len(literal) > maxVarBytes {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "setting "+name+" cannot be carried")
	}
	next := maps.Clone(v.values)
	if next == nil {
		next = make(map[string]string, 1)
	}
	next[strings.ToLower(name)] = literal
	if len(next) > maxVars {
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "too many session settings")
	}
	v.values = next
	v.applied = v.statement()
	return nil
}

// allSettings is the name that RESET ALL gives.
const allSettings = "all"

// keepAsStart makes the present values those to which RESET returns.
func (v *sessionVars) keepAsStart() { v.start = v.values }

// drop resets a setting, or all of them for the name "all".
func (v *sessionVars) drop(name string) {
	name = strings.ToLower(name)
	if name == allSettings {
		v.values = v.start
	} else {
		next := maps.Clone(v.values)
		delete(next, name)
		if value, ok := v.start[name]; ok {
			next[name] = value
		}
		v.values = next
	}
	v.applied = v.statement()
}

func (v *sessionVars) statement() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(v.values)) {
		b.WriteString("SET " + name + " = " + v.values[name] + ";")
	}
	return b.String()
}

func isIdentifier(name string) bool {
	if name == "" || len(name) > 128 {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if !(c == '_' || c == '.' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z') {
			return false
		}
	}
	return true
}
