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
	// MaxExceptions is the greatest number of exceptions. The list is meant to
	// be short: one person can still review 64 at once.
	MaxExceptions = 64
	// MaxDocumentBytes is the greatest size of a document, as submitted and in
	// its canonical YAML form.
	MaxDocumentBytes = 64 * kib
	// MaxReasonBytes is the greatest length of a reason or an expiry note.
	MaxReasonBytes = 500
	// MaxNameBytes is the greatest length of the name of a caller or an author.
	MaxNameBytes = 128
	// MaxDatabaseNameBytes is the greatest length of a database name, as in
	// PostgreSQL.
	MaxDatabaseNameBytes = 63
)

// Document is a valid configuration document. It is immutable and safe for
// concurrent use.
type Document struct {
	defaults   Settings
	exceptions []Exception
	index      index
}

//go:embed default.yaml
var defaultYAML []byte

var defaultDocument = mustParse(defaultYAML)

func mustParse(text []byte) *Document {
	d, err := parseWithDefaults(Settings{}, text)
	if err != nil {
		panic(eris.Wrap(err, "embedded default document"))
	}
	return d
}

// Default returns the embedded default document.
func Default() *Document { return defaultDocument }

// New validates the settings and exceptions and returns their document.
func New(defaults Settings, exceptions ...Exception) (*Document, error) {
	d := &Document{defaults: defaults, exceptions: slices.Clone(exceptions)}
	return d.validate(&report{}, nil)
}

// validate adds the problems of the document to r and returns all of them as an
// error. If there are none, it builds the index for Resolve and returns the
// document. Lines holds the line of each exception, or is nil.
func (d *Document) validate(r *report, lines []int) (*Document, error) {
	// If r has problems, the parser has already reported the values out of range,
	// with their lines.
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

// checkSize reports a document whose canonical form Parse would reject.
func (d *Document) checkSize(r *report) {
	if n := len(d.YAML()); n > MaxDocumentBytes {
		r.add(0, "document", strconv.Itoa(n), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
}

// Defaults returns the settings that apply where no exception matches.
func (d *Document) Defaults() Settings { return d.defaults }

// Exceptions returns a copy of the exceptions in the order of the document.
func (d *Document) Exceptions() []Exception { return slices.Clone(d.exceptions) }

// WithDefault returns the document with one default changed. Name and value are
// written as in YAML.
func (d *Document) WithDefault(name, value string) (*Document, error) {
	o, err := Overrides{}.With(name, value)
	if err != nil {
		return nil, err
	}
	s := d.defaults
	o.apply(&s)
	return New(s, d.exceptions...)
}

// WithException returns the document with e added. It replaces an exception with
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

// WithoutException returns the document without the exception that has the scope.
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

// checkSettings checks the range of each field, and the fields that must not be
// greater than another one.
func checkSettings(r *report, s *Settings) {
	for i := range fields {
		f := &fields[i]
		scratch := *s
		if text := f.format(s); !f.parse(&scratch, text) {
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
	checkText(r, line, path+".reason", e.Reason, 1, MaxReasonBytes)
	checkText(r, line, path+".author", e.Author, 1, MaxNameBytes)
	checkText(r, line, path+".expiry", e.Expiry, 0, MaxReasonBytes)
	if e.Set.mask == 0 {
		r.add(line, path+".set", "", "at least one field")
	}
	for i := range fields {
		if e.Set.has(i) {
			checkOverride(r, line, path+".set."+fields[i].name, &fields[i], e)
		}
	}
}

func checkOverride(r *report, line int, path string, f *field, e *Exception) {
	text := f.format(&e.Set.values)
	switch {
	case f.override == overrideNever:
		r.add(line, path, text, "no exception: the field has one value for the whole fleet")
	case f.override == overridePerDatabase && (e.Scope.Caller != "" || e.Scope.Fingerprint != 0):
		r.add(line, path, text, "a scope that names a database only")
	}
}

func checkScope(r *report, line int, path string, s Scope) {
	if s.IsZero() {
		r.add(line, path, "", "a database, a fingerprint or a caller")
	}
	checkText(r, line, path+".database", s.Database, 0, MaxDatabaseNameBytes)
	checkText(r, line, path+".caller", s.Caller, 0, MaxNameBytes)
}

func checkText(r *report, line int, path, text string, minBytes, maxBytes int) {
	switch {
	case len(text) < minBytes:
		r.add(line, path, text, "a text, it is required")
	case len(text) > maxBytes:
		r.add(line, path, text, fmt.Sprintf("at most %d bytes", maxBytes))
	case !isPlainText(text):
		r.add(line, path, text, "printable characters without space at either end")
	}
}

// isPlainText reports whether text fits on one line and stays the same when it is
// written as YAML and read again.
func isPlainText(text string) bool {
	if !utf8.ValidString(text) || strings.TrimSpace(text) != text {
		return false
	}
	return !strings.ContainsFunc(text, func(c rune) bool { return !unicode.IsPrint(c) })
}
