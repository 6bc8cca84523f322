package entry

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"tamarackcross/errs"
)

// Names of the session settings that the proxy understands.
const (
	settingPrefix  = "tamarackcross."
	settingToken   = "tamarackcross.token"
	settingBound   = "tamarackcross.read_bound"
	settingMaxAge  = "tamarackcross.max_age"
	settingKey     = "tamarackcross.idempotency_key"
	settingTimeout = "tamarackcross.deadline"
	settingOutcome = "tamarackcross.outcome"
)

// Limits of session settings.
const (
	maxKeyLen  = 128 // bytes of an idempotency key
	maxAge     = 24 * time.Hour
	maxTimeout = time.Hour
)

// readBound names the freshness that a session asks for.
type readBound string

const (
	boundSession readBound = "session"
	boundAge     readBound = "age"
	boundLatest  readBound = "latest"
)

// settings are the session settings of a caller.
type settings struct {
	bound    readBound
	maxAge   time.Duration
	key      string
	deadline time.Duration // 0 means the policy decides
}

func defaultSettings() settings { return settings{bound: boundSession} }

// set changes one setting. The token is not a setting of its own: it belongs to
// the vector of the session.
func (s *settings) set(name, value string) error {
	switch name {
	case settingBound:
		return s.setBound(value)
	case settingMaxAge:
		return s.setMaxAge(value)
	case settingKey:
		if len(value) > maxKeyLen || !utf8.ValidString(value) || strings.ContainsFunc(value, unicode.IsControl) {
			return badSetting(name, "a key of at most 128 bytes without control characters")
		}
		s.key = value
	case settingTimeout:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 || d > maxTimeout {
			return badSetting(name, "a duration from 0s to 1h")
		}
		s.deadline = d
	default:
		return errs.New(errs.NotRun, errs.ReasonBadSetting, "unknown setting "+name)
	}
	return nil
}

func (s *settings) setBound(value string) error {
	switch b := readBound(strings.ToLower(value)); b {
	case boundSession, boundAge, boundLatest:
		s.bound = b
	default:
		return badSetting(settingBound, "session, age or latest")
	}
	return nil
}

// setMaxAge also selects the age bound: a maximum age without it has no effect.
func (s *settings) setMaxAge(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxAge {
		return badSetting(settingMaxAge, "a duration from 0s to 24h")
	}
	s.maxAge = d
	switch {
	case d > 0:
		s.bound = boundAge
	case s.bound == boundAge:
		s.bound = boundSession
	}
	return nil
}

// get returns the value of a setting for SHOW.
func (s *settings) get(name string) (string, bool) {
	switch name {
	case settingBound:
		return string(s.bound), true
	case settingMaxAge:
		return s.maxAge.String(), true
	case settingKey:
		return s.key, true
	case settingTimeout:
		return s.deadline.String(), true
	}
	return "", false
}

func badSetting(name, want string) error {
	return errs.New(errs.NotRun, errs.ReasonBadSetting, "invalid value for "+name+": want "+want)
}
