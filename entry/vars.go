package entry

import (
	"maps"
	"slices"
	"strings"

	"tamarackcross/errs"
	"tamarackcross/shape"
)

// Limits of the backend settings of a session.
const (
	maxVars     = 16   // settings of a session
	maxVarBytes = 1024 // bytes of one quoted value
)

// sessionVars are the settings of a session that concern the backend server. They
// are set on each connection that the session uses, so that the session is not bound
// to one connection. The zero value is empty.
type sessionVars struct {
	values  map[string]string // name -> quoted value
	startup map[string]string // values from the startup message, which RESET restores
	setSQL  string            // SET statements for all values, "" if there are none
}

// put stores a setting with an unquoted value.
func (v *sessionVars) put(name, value string) error {
	return v.putQuoted(name, "'"+strings.ReplaceAll(value, "'", "''")+"'")
}

// putQuoted stores a setting whose value is already an SQL literal.
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
	v.setSQL = v.buildSetSQL()
	return nil
}

// allSettings is the name of the setting in a parsed RESET ALL.
const allSettings = "all"

// saveAsStartup makes the present values those that RESET restores.
func (v *sessionVars) saveAsStartup() { v.startup = v.values }

// reset restores the startup value of a setting, or of all settings for the name
// "all".
func (v *sessionVars) reset(name string) {
	name = strings.ToLower(name)
	if name == allSettings {
		v.values = v.startup
	} else {
		next := maps.Clone(v.values)
		delete(next, name)
		if value, ok := v.startup[name]; ok {
			next[name] = value
		}
		v.values = next
	}
	v.setSQL = v.buildSetSQL()
}

func (v *sessionVars) buildSetSQL() string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(v.values)) {
		b.WriteString("SET " + name + " = " + v.values[name] + ";")
	}
	return b.String()
}

// connSettings is what is known of the settings of a backend connection. The zero value is that of
// a new connection.
type connSettings struct {
	setSQL  string // SET statements in effect
	unknown bool   // a statement may have changed them since
}

// are reports whether exactly the values of the SET statements are known to be in effect.
func (s *connSettings) are(setSQL string) bool { return !s.unknown && s.setSQL == setSQL }

// set records that exactly the values of the SET statements are in effect.
func (s *connSettings) set(setSQL string) { *s = connSettings{setSQL: setSQL} }

// forget records that the settings may have changed.
func (s *connSettings) forget() { s.unknown = true }

// changesSettings reports whether a statement may change the settings of the connection that it
// runs on beyond its transaction.
func changesSettings(st shape.Statement) bool {
	return isDiscardAll(st) || st.Kind() == shape.Set && !st.Local() && !st.IsProxySetting()
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
