// Package flags reads the settings of a process from flags and environment
// variables and checks them all at startup. A flag wins over its variable.
package flags

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// Prefix starts the name of each environment variable.
const Prefix = "TAMARACKCROSS_"

// Set is the settings of one subcommand.
type Set struct {
	fields []*field
}

// field is one setting. raw is what the flag or the variable gave.
type field struct {
	name     string
	raw      string
	fallback string
	help     string
	parse    func(string) error
	want     string // permitted values, for error messages
}

// Problem is a setting with an invalid value.
type Problem struct {
	Name  string
	Value string
	Want  string
}

// Invalid lists every invalid setting.
type Invalid struct {
	problems []Problem
}

// Problems returns the invalid settings.
func (e *Invalid) Problems() []Problem { return e.problems }

// Error names each setting, its value and what is permitted.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, fmt.Sprintf("invalid value %q for --%s (%s): want %s", p.Value, p.Name, Variable(p.Name), p.Want))
	}
	return strings.Join(lines, "\n")
}

// Variable returns the environment variable of a flag.
func Variable(name string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func (s *Set) add(name, fallback, help, want string, parse func(string) error) {
	s.fields = append(s.fields, &field{name: name, fallback: fallback, help: help, want: want, parse: parse})
}

// String adds a setting that is any text.
func (s *Set) String(dst *string, name, fallback, help string) {
	s.add(name, fallback, help, "text", func(v string) error {
		*dst = v
		return nil
	})
}

// Required adds a setting that must not be empty.
func (s *Set) Required(dst *string, name, help string) {
	s.add(name, "", help+" (required)", "a value that is not empty", func(v string) error {
		*dst = v
		if v == "" {
			return errInvalid
		}
		return nil
	})
}

// List adds a setting that is a list of values separated by commas.
func (s *Set) List(dst *[]string, name, fallback, help string) {
	s.add(name, fallback, help, "values separated by commas", func(v string) error {
		*dst = nil
		for part := range strings.SplitSeq(v, ",") {
			if part = strings.TrimSpace(part); part != "" {
				*dst = append(*dst, part)
			}
		}
		return nil
	})
}

// Bool adds a setting that is true or false.
func (s *Set) Bool(dst *bool, name string, fallback bool, help string) {
	s.add(name, strconv.FormatBool(fallback), help, "true or false", func(v string) error {
		b, err := strconv.ParseBool(v)
		*dst = b
		return err
	})
}

// Int adds a number within a range.
func (s *Set) Int(dst *int, name string, fallback, low, high int, help string) {
	s.add(name, strconv.Itoa(fallback), help, fmt.Sprintf("a number from %d to %d", low, high), func(v string) error {
		n, err := strconv.Atoi(v)
		*dst = n
		if err != nil || n < low || n > high {
			return errInvalid
		}
		return nil
	})
}

// Duration adds a duration within a range.
func (s *Set) Duration(dst *time.Duration, name string, fallback, low, high time.Duration, help string) {
	s.add(name, fallback.String(), help, fmt.Sprintf("a duration from %s to %s", low, high), func(v string) error {
		d, err := time.ParseDuration(v)
		*dst = d
		if err != nil || d < low || d > high {
			return errInvalid
		}
		return nil
	})
}

// Address adds an address of the form host:port.
func (s *Set) Address(dst *string, name, fallback, help string) {
	s.add(name, fallback, help, "an IP address and a port such as 127.0.0.1:5432", func(v string) error {
		*dst = v
		if v == "" {
			return nil
		}
		host, port, err := net.SplitHostPort(v)
		if err != nil {
			return err
		}
		if _, err := strconv.ParseUint(port, 10, 16); err != nil {
			return err
		}
		if net.ParseIP(host) == nil {
			return errInvalid
		}
		return nil
	})
}

// Choice adds a setting that is one of a few words.
func (s *Set) Choice(dst *string, name, fallback, help string, words ...string) {
	s.add(name, fallback, help, "one of "+strings.Join(words, ", "), func(v string) error {
		*dst = v
		for _, w := range words {
			if v == w {
				return nil
			}
		}
		return errInvalid
	})
}

var errInvalid = fmt.Errorf("invalid value")

// Register adds the flags to a subcommand.
func (s *Set) Register(sub *flaggy.Subcommand) {
	for _, f := range s.fields {
		help := f.help
		if f.fallback != "" {
			help += " [default " + f.fallback + "]"
		}
		sub.String(&f.raw, "", f.name, help)
	}
}

// Finish fills in the environment and the defaults and checks every setting.
func (s *Set) Finish(env func(string) string) error {
	var bad Invalid
	for _, f := range s.fields {
		v := f.raw
		if v == "" {
			v = env(Variable(f.name))
		}
		if v == "" {
			v = f.fallback
		}
		if err := f.parse(v); err != nil {
			bad.problems = append(bad.problems, Problem{Name: f.name, Value: v, Want: f.want})
		}
	}
	if len(bad.problems) > 0 {
		return &bad
	}
	return nil
}
