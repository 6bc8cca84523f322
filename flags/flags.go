// Package flags reads the settings of a process from command-line flags and
// environment variables and validates all of them at startup. A flag takes
// precedence over its environment variable.
package flags

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "TAMARACKCROSS_"

// Set holds the settings of one subcommand.
type Set struct {
	settings []*setting
}

type setting struct {
	name         string
	raw          string // value of the flag; empty if it was not given
	defaultValue string
	help         string
	parse        func(string) error
	want         string // permitted values, for error messages
}

// InvalidSetting is a setting with an invalid value. Want describes the permitted values.
type InvalidSetting struct {
	Name  string
	Value string
	Want  string
}

// InvalidError is the error for a set with invalid settings. It lists all of them.
type InvalidError struct {
	problems []InvalidSetting
}

// Settings returns the invalid settings.
func (e *InvalidError) Settings() []InvalidSetting { return e.problems }

// Error returns one line for each invalid setting, with its flag, environment
// variable, value and permitted values.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, fmt.Sprintf("invalid value %q for --%s (%s): want %s", p.Value, p.Name, EnvName(p.Name), p.Want))
	}
	return strings.Join(lines, "\n")
}

// EnvName returns the name of the environment variable of a flag.
func EnvName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func (s *Set) add(name, defaultValue, help, want string, parse func(string) error) {
	s.settings = append(s.settings, &setting{name: name, defaultValue: defaultValue, help: help, want: want, parse: parse})
}

// String adds a setting that may have any text as its value.
func (s *Set) String(dst *string, name, defaultValue, help string) {
	s.add(name, defaultValue, help, "text", func(v string) error {
		*dst = v
		return nil
	})
}

// Required adds a text setting without a default that must not be empty.
func (s *Set) Required(dst *string, name, help string) {
	s.add(name, "", help+" (required)", "a value that is not empty", func(v string) error {
		*dst = v
		if v == "" {
			return errInvalid
		}
		return nil
	})
}

// List adds a list of values separated by commas. Empty values are dropped.
func (s *Set) List(dst *[]string, name, defaultValue, help string) {
	s.add(name, defaultValue, help, "values separated by commas", func(v string) error {
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
func (s *Set) Bool(dst *bool, name string, defaultValue bool, help string) {
	s.add(name, strconv.FormatBool(defaultValue), help, "true or false", func(v string) error {
		b, err := strconv.ParseBool(v)
		*dst = b
		return err
	})
}

// Int adds an integer from low to high.
func (s *Set) Int(dst *int, name string, defaultValue, low, high int, help string) {
	s.add(name, strconv.Itoa(defaultValue), help, fmt.Sprintf("a number from %d to %d", low, high), func(v string) error {
		n, err := strconv.Atoi(v)
		*dst = n
		if err != nil || n < low || n > high {
			return errInvalid
		}
		return nil
	})
}

// Duration adds a duration from low to high.
func (s *Set) Duration(dst *time.Duration, name string, defaultValue, low, high time.Duration, help string) {
	s.add(name, defaultValue.String(), help, fmt.Sprintf("a duration from %s to %s", low, high), func(v string) error {
		d, err := time.ParseDuration(v)
		*dst = d
		if err != nil || d < low || d > high {
			return errInvalid
		}
		return nil
	})
}

// Address adds an address made of an IP address and a port. It may be empty.
func (s *Set) Address(dst *string, name, defaultValue, help string) {
	s.add(name, defaultValue, help, "an IP address and a port such as 127.0.0.1:5432", func(v string) error {
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

// Choice adds a setting whose value is one of words.
func (s *Set) Choice(dst *string, name, defaultValue, help string, words ...string) {
	s.add(name, defaultValue, help, "one of "+strings.Join(words, ", "), func(v string) error {
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
	for _, f := range s.settings {
		help := f.help
		if f.defaultValue != "" {
			help += " [default " + f.defaultValue + "]"
		}
		sub.String(&f.raw, "", f.name, help)
	}
}

// Resolve determines the value of each setting from its flag, its environment
// variable, which getenv returns, or its default, in this order, and validates it.
// It returns an error that lists all invalid settings.
func (s *Set) Resolve(getenv func(string) string) error {
	var invalid InvalidError
	for _, f := range s.settings {
		v := f.raw
		if v == "" {
			v = getenv(EnvName(f.name))
		}
		if v == "" {
			v = f.defaultValue
		}
		if err := f.parse(v); err != nil {
			invalid.problems = append(invalid.problems, InvalidSetting{Name: f.name, Value: v, Want: f.want})
		}
	}
	if len(invalid.problems) > 0 {
		return &invalid
	}
	return nil
}
