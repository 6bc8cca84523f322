package entry

import (
	"maps"
	"slices"
	"strings"

	"tamarackcross/errs"
	"tamarackcross/token"
)

// readIdentity reads the user and the database from the startup parameters. The
// database defaults to the name of the user.
func (c *session) readIdentity(params map[string]string) error {
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

// applyStartupSettings applies the session settings in the startup parameters, in the
// order of their names so that the result is deterministic. A setting is a parameter
// of its own or, for drivers that cannot send those, "-c name=value" in the options
// parameter. It fails if the database is not known.
func (c *session) applyStartupSettings(params map[string]string) error {
	all := parseOptions(params["options"])
	for name, value := range params {
		if isSessionSetting(name) {
			all[strings.ToLower(name)] = value
		}
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if err := c.applyStartupSetting(name, all[name]); err != nil {
			return err
		}
	}
	c.startSettings = c.settings
	c.vars.saveAsStartup()
	if _, ok := c.srv.dir.Group(c.database); !ok {
		return errs.New(errs.NotRun, errs.ReasonUnknownDB, "database \""+c.database+"\" is not known")
	}
	return nil
}

func (c *session) applyStartupSetting(name, value string) error {
	if strings.HasPrefix(name, settingPrefix) {
		return c.setProxySetting(name, value)
	}
	return c.vars.put(name, value)
}

// parseOptions parses "-c name=value" and "--name=value" fields of the options
// parameter, in which a backslash escapes the next character.
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

// setProxySetting sets one of the settings of the proxy. A session token only
// advances the positions of the session.
func (c *session) setProxySetting(name, value string) error {
	if name != settingToken {
		return c.settings.set(name, value)
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
	c.tokenChanged = true
	return nil
}
