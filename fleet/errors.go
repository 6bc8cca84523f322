package fleet

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	Field     string // path of the field, such as "exceptions[2].reason"
	Value     string // value found, cut to maxValueBytes
	Permitted string // what is permitted
	Line      int    // line in the YAML text, or 0 if unknown
}

// String formats the problem on one line.
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

// Problems returns all problems in the order in which they were found.
func (e *Invalid) Problems() []Problem { return e.problems }

// Error returns a text that lists all problems.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return "fleet document: " + strings.Join(lines, "; ")
}

// AsInvalid returns the first *Invalid in the chain of err, or nil.
func AsInvalid(err error) *Invalid {
	var e *Invalid
	if errors.As(err, &e) {
		return e
	}
	return nil
}

func invalid(problems ...Problem) *Invalid { return &Invalid{problems: problems} }

// maxValueBytes is the length to which an error cuts the values that it quotes.
const maxValueBytes = 80

// report collects the problems of a document.
type report struct {
	problems []Problem
}

func (r *report) add(line int, field, value, permitted string) {
	if len(value) > maxValueBytes {
		value = strings.ToValidUTF8(value[:maxValueBytes], "") + "..."
	}
	r.problems = append(r.problems, Problem{Field: field, Value: value, Permitted: permitted, Line: line})
}

func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return invalid(r.problems...)
}
