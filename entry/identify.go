package entry

import (
	"maps"
	"slices"
	"strings"

	"tamarackcross/errs"
	"tamarackcross/token"
)

// named reads who the caller is and which database it wants.
func (c *session) named(params map[string]string) error {
	c.caller = params["user"]
	c.database = params["database"]
	if c.database == "" {
		c.database = c.caller
	}
	if c.caller == "" {
		return errs.New(errs.NotRun, errs.ReasonProtocol, "startup message names no user")
	}
	return nil
}

// identify reads the settings of the session from the startup parameters, in
// the order of their names so that the result does not vary. Settings come as
// parameters of their own or, for drivers that cannot send those, as
// "-c name=value" inside the options parameter.
func (c *session) identify(params map[string]string) error {
	all := parseOptions(params["options"])
	for name, value := range params {
		if callerParameter(name) {
			all[strings.ToLower(name)] = value
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if err := c.startupSetting(name, all[name]); err != nil {
			return err
		}
	}
	c.start = c.set
	c.vars.keepAsStart()
	if _, ok := c.srv.dir.Group(c.database); !ok {
		return errs.New(errs.NotRun, errs.ReasonUnknownDB, "database \""+c.database+"\" is not known")
	}
	return nil
}

func (c *session) startupSetting(name, value string) error {
	if strings.HasPrefix(name, settingPrefix) {
		return c.changeSetting(name, value)
	}
	return c.vars.put(name, value)
}

// parseOptions reads "-c name=value" and "--name=value" fields; a backslash
// keeps the space after it.
func parseOptions(text string) map[string]string {
	out := make(map[string]string)
	fields := splitOptions(text)
	for i := 0; i < len(fields); i++ {
		field := fields[i]
		switch {
		case field == "-c" && i+1 < len(fields):
			i++
			field = fields[i]
		case strings.HasPrefix(field, "-c"):
			field = field[2:]
		case strings.HasPrefix(field, "--"):
			field = field[2:]
		default:
			continue
		}
		if name, value, ok := strings.Cut(field, "="); ok {
			out[strings.ToLower(name)] = value
		}
	}
	return out
}

func splitOptions(text string) []string {
	var fields []string
	var b strings.Builder
	flush := func() {
		if b.Len() > 0 {
			fields = append(fields, b.String())
			b.Reset()
		}
	}
	for i := 0; i < len(text); i++ {
		switch {
		case text[i] == '\\' && i+1 < len(text):
			i++
			b.WriteByte(text[i])
		case text[i] == ' ':
			flush()
		default:
			b.WriteByte(text[i])
		}
	}
	flush()
	return fields
}

// changeSetting sets one of the settings of the proxy. A token raises the vector
// of the session; it never lowers it.
func (c *session) changeSetting(name, value string) error {
	if name != settingToken {
		return c.set.set(name, value)
	}
	v, err := c.srv.codec.Decode(value)
	if err != nil {
		return errs.New(errs.NotRun, errs.ReasonBadToken, "session token cannot be read: "+err.Error())
	}
	merged := c.vector.Merge(v)
	if merged.Len() > token.MaxDatabases {
		return errs.New(errs.NotRun, errs.ReasonBadToken, "session token names too many databases")
	}
	c.vector = merged
	c.unreported = true
	return nil
}
