package fleet

import (
	_ "embed"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

const (
	// MaxExceptions is the largest number of exceptions. The list is meant to
	// be short: 64 can still be reviewed by one person in one sitting.
	MaxExceptions = 64
	// MaxSize is the largest document, in bytes of its canonical YAML.
	MaxSize = 64 * kib
	// MaxReason is the longest reason or expiry note, in bytes.
	MaxReason = 500
	// MaxName is the longest caller or author, in bytes.
	MaxName = 128
	// MaxDatabaseName is the longest database name, in bytes, as in PostgreSQL.
	MaxDatabaseName = 63
)

// Document is a valid configuration of the fleet. It is immutable and may be
// shared between goroutines.
type Document struct {
	defaults   Settings
	exceptions []Exception
	index      index
}

//go:embed default.yaml
var defaultYAML []byte

var standard = mustParse(defaultYAML)

func mustParse(text []byte) *Document {
	d, err := parseOver(Settings{}, text)
	if err != nil {
		panic(eris.Wrap(err, "embedded default document"))
	}
	return d
}

// Default returns the embedded default document.
func Default() *Document { return standard }

// New checks the settings and exceptions as a whole and returns their document.
func New(defaults Settings, exceptions ...Exception) (*Document, error) {
	d := &Document{defaults: defaults, exceptions: slices.Clone(exceptions)}
	return d.finish(&report{}, nil)
}

// finish checks the document, on top of the problems that r holds already, and
// makes it ready for Resolve. Lines, if known, gives the line of each exception.
func (d *Document) finish(r *report, lines []int) (*Document, error) {
	// Ranges of values that were read are reported with their lines already.
	if len(r.problems) == 0 {
		checkSettings(r, &d.defaults)
	}
	d.checkExceptions(r, lines)
	if len(r.problems) == 0 {
		d.checkSize(r)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	d.index = newIndex(d.exceptions)
	return d, nil
}

// checkSize refuses a document whose written form could not be read again.
func (d *Document) checkSize(r *report) {
	if n := len(d.YAML()); n > MaxSize {
		r.add(0, "document", strconv.Itoa(n), fmt.Sprintf("at most %d bytes", MaxSize))
	}
}

// Defaults returns the settings that apply without exceptions.
func (d *Document) Defaults() Settings { return d.defaults }

// Exceptions returns a copy of the exceptions in the order of the document.
func (d *Document) Exceptions() []Exception { return slices.Clone(d.exceptions) }

// WithDefault returns the document with one default changed, given by name and
// text as in the YAML form.
func (d *Document) WithDefault(name, value string) (*Document, error) {
	o, err := Overrides{}.With(name, value)
	if err != nil {
		return nil, err
	}
	s := d.defaults
	o.apply(&s)
	return New(s, d.exceptions...)
}

// WithException returns the document with e added, in place of an exception of
// the same scope.
func (d *Document) WithException(e Exception) (*Document, error) {
	list := d.Exceptions()
	if i := d.find(e.Scope); i >= 0 {
		list[i] = e
	} else {
		list = append(list, e)
	}
	return New(d.defaults, list...)
}

// WithoutException returns the document without the exception of the scope.
func (d *Document) WithoutException(s Scope) (*Document, error) {
	i := d.find(s)
	if i < 0 {
		return nil, invalid(Problem{Field: "scope", Value: fmt.Sprintf("%+v", s), Permitted: "the scope of an exception"})
	}
	return New(d.defaults, slices.Delete(d.Exceptions(), i, i+1)...)
}

func (d *Document) find(s Scope) int {
	return slices.IndexFunc(d.exceptions, func(e Exception) bool { return e.Scope == s })
}

func (d *Document) checkExceptions(r *report, lines []int) {
	if n := len(d.exceptions); n > MaxExceptions {
		r.add(0, "exceptions", strconv.Itoa(n), fmt.Sprintf("at most %d exceptions", MaxExceptions))
	}
	seen := make(map[Scope]int, len(d.exceptions))
	for i := range d.exceptions {
		line := 0
		if i < len(lines) {
			line = lines[i]
		}
		e := &d.exceptions[i]
		path := fmt.Sprintf("exceptions[%d]", i)
		checkException(r, line, path, e)
		if first, ok := seen[e.Scope]; ok {
			r.add(line, path+".scope", fmt.Sprintf("%+v", e.Scope), fmt.Sprintf("a scope other than that of exceptions[%d]", first))
			continue
		}
		seen[e.Scope] = i
	}
}

// checkSettings checks ranges, and the pairs of fields that limit each other.
func checkSettings(r *report, s *Settings) {
	for i := range fields {
		f := &fields[i]
		scratch := *s
		if text := f.text(s); !f.parse(&scratch, text) {
			r.add(0, "defaults."+f.name, text, f.permitted)
		}
	}
	if s.QueueWait > s.Deadline {
		r.add(0, "defaults.queue_wait", s.QueueWait.String(), fmt.Sprintf("at most the deadline of %s", s.Deadline))
	}
	if s.ReplicaWait > s.Deadline {
		r.add(0, "defaults.replica_wait", s.ReplicaWait.String(), fmt.Sprintf("at most the deadline of %s", s.Deadline))
	}
	if s.IdleConnections > s.MaxConnections {
		r.add(0, "defaults.idle_connections", strconv.Itoa(s.IdleConnections), fmt.Sprintf("at most max_connections of %d", s.MaxConnections))
	}
}

func checkException(r *report, line int, path string, e *Exception) {
	checkScope(r, line, path+".scope", e.Scope)
	checkText(r, line, path+".reason", e.Reason, 1, MaxReason)
	checkText(r, line, path+".author", e.Author, 1, MaxName)
	checkText(r, line, path+".expiry", e.Expiry, 0, MaxReason)
	if e.Set.set == 0 {
		r.add(line, path+".set", "", "at least one field")
	}
	for i := range fields {
		if e.Set.has(i) {
			checkOverride(r, line, path+".set."+fields[i].name, &fields[i], e)
		}
	}
}

func checkOverride(r *report, line int, path string, f *field, e *Exception) {
	text := f.text(&e.Set.values)
	switch {
	case f.reach == reachFleet:
		r.add(line, path, text, "no exception: the field has one value for the whole fleet")
	case f.reach == reachDatabase && (e.Scope.Caller != "" || e.Scope.Fingerprint != 0):
		r.add(line, path, text, "a scope that names a database only")
	}
}

func checkScope(r *report, line int, path string, s Scope) {
	if s.IsZero() {
		r.add(line, path, "", "a database, a fingerprint or a caller")
	}
	checkText(r, line, path+".database", s.Database, 0, MaxDatabaseName)
	checkText(r, line, path+".caller", s.Caller, 0, MaxName)
}

func checkText(r *report, line int, path, text string, low, high int) {
	switch {
	case len(text) < low:
		r.add(line, path, text, "a text, it is required")
	case len(text) > high:
		r.add(line, path, text, fmt.Sprintf("at most %d bytes", high))
	case !plain(text):
		r.add(line, path, text, "printable characters without space at either end")
	}
}

// plain reports whether text survives a YAML round trip and fits on one line.
func plain(text string) bool {
	if !utf8.ValidString(text) || strings.TrimSpace(text) != text {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool { return !unicode.IsPrint(c) })
}
