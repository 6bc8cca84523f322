package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	Field     string // path of the field, such as "exceptions[2].reason"
	Value     string // value found, shortened
	Permitted string // what is permitted
	Line      int    // line in the text, or 0
}

// String renders the problem on one line.
func (p Problem) String() string {
	text := fmt.Sprintf("%s: %q is not permitted, want %s", p.Field, p.Value, p.Permitted)
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// Invalid is the error of a document with one or more problems.
type Invalid struct {
	problems []Problem
}

// Problems returns all faults in the order in which they were found.
func (e *Invalid) Problems() []Problem { return e.problems }

// Error lists all problems.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return "fleet document: " + strings.Join(lines, "; ")
}

// AsInvalid returns the typed error in the chain of err, or nil.
func AsInvalid(err error) *Invalid {
	var e *Invalid
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func invalid(problems ...Problem) *Invalid { return &Invalid{problems: problems} }

// maxShown is the longest value that an error repeats, in bytes.
const maxShown = 80

// report collects problems.
type report struct {
	problems []Problem
}

func (r *report) add(line int, field, value, permitted string) {
	if len(value) > maxShown {
		value = strings.ToValidUTF8(value[:maxShown], "") + "..."
	}
	r.problems = append(r.problems, Problem{Field: field, Value: value, Permitted: permitted, Line: line})
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return invalid(r.problems...)
}
