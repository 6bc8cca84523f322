package entry

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"tamarackcross/errs"
)

// Names of the session settings of the proxy.
const (
	settingPrefix   = "tamarackcross."
	settingToken    = "tamarackcross.token"
	settingBound    = "tamarackcross.read_bound"
	settingMaxAge   = "tamarackcross.max_age"
	settingKey      = "tamarackcross.idempotency_key"
	settingDeadline = "tamarackcross.deadline"
	settingOutcome  = "tamarackcross.outcome"
)

// Limits of session settings.
const (
	maxKeyLen   = 128 // bytes of an idempotency key
	maxAgeLimit = 24 * time.Hour
	maxDeadline = time.Hour
)

// readBound is the kind of read bound of a session: how recent the data of its reads
// must be.
type readBound string

const (
	boundSession readBound = "session" // what the session wrote or read before
	boundAge     readBound = "age"     // that, and data no older than maxAge
	boundLatest  readBound = "latest"  // every write acknowledged before the read
)

// settings are the values of the proxy's settings in one session.
type settings struct {
	bound    readBound
	maxAge   time.Duration
	key      string
	deadline time.Duration // of a request, 0 for that of the policies
}

func defaultSettings() settings { return settings{bound: boundSession} }

// set changes one setting. The session token is not among them, because it follows
// from the positions that the session saw.
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
	case settingDeadline:
		d, err := time.ParseDuration(value)
		if err != nil || d < 0 || d > maxDeadline {
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

// setMaxAge sets the maximum age and selects the age bound, without which the age
// would have no effect. An age of 0 selects the session bound again.
func (s *settings) setMaxAge(value string) error {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 || d > maxAgeLimit {
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
	case settingDeadline:
		return s.deadline.String(), true
	}
	return "", false
}

func badSetting(name, want string) error {
	return errs.New(errs.NotRun, errs.ReasonBadSetting, "invalid value for "+name+": want "+want)
}
