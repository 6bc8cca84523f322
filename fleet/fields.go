package fleet

import (
	"fmt"
	"strconv"
	"time"
)

// reach says which exceptions may override a field.
type reach int

const (
	reachFleet     reach = iota // one value for the whole fleet: no exception may set it
	reachDatabase               // scopes that name a database only
	reachStatement              // every scope
)

// field describes one field of the document.
type field struct {
	name      string
	reach     reach
	permitted string
	parse     func(s *Settings, text string) bool
	text      func(s *Settings) string
	copy      func(dst, src *Settings)
}

const (
	kib = 1 << 10 // bytes
	mib = 1 << 20 // bytes
)

// fields lists the fields in the order in which documents are written.
// The lease length is not open to exceptions: a new owner waits for the longest
// lease of the old one and must know its length for every database.
var fields = []field{
	duration("deadline", reachStatement, time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.Deadline }),
	duration("queue_wait", reachStatement, time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.QueueWait }),
	decimal("retry_budget", reachDatabase, 0, 1, func(s *Settings) *float64 { return &s.RetryBudget }),
	integer("breaker_failures", reachDatabase, 1, 1000, func(s *Settings) *int { return &s.BreakerFailures }),
	duration("breaker_open", reachDatabase, 10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.BreakerOpen }),
	decimal("long_share", reachDatabase, 0.01, 0.9, func(s *Settings) *float64 { return &s.LongShare }),
	decimal("long_factor", reachDatabase, 1.5, 1000, func(s *Settings) *float64 { return &s.LongFactor }),
	duration("commit_timeout", reachStatement, 10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.CommitTimeout }),
	bound("read_bound", reachStatement, func(s *Settings) *ReadBound { return &s.ReadBound }),
	duration("max_age", reachStatement, time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.MaxAge }),
	duration("replica_wait", reachStatement, 0, 10*time.Second, func(s *Settings) *time.Duration { return &s.ReplicaWait }),
	duration("silence_limit", reachDatabase, 50*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.SilenceLimit }),
	duration("probe_interval", reachDatabase, 50*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.ProbeInterval }),
	integer("max_connections", reachDatabase, 1, 10_000, func(s *Settings) *int { return &s.MaxConnections }),
	integer("idle_connections", reachDatabase, 0, 1000, func(s *Settings) *int { return &s.IdleConnections }),
	duration("lease_length", reachFleet, 50*time.Millisecond, time.Second, func(s *Settings) *time.Duration { return &s.LeaseLength }),
	duration("detect_timeout", reachDatabase, 100*time.Millisecond, 5*time.Second, func(s *Settings) *time.Duration { return &s.DetectTimeout }),
	duration("shutdown_limit", reachFleet, time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownLimit }),
	integer("max_message", reachFleet, 8*kib, 256*mib, func(s *Settings) *int { return &s.MaxMessage }),
	integer("max_callers", reachFleet, 1, 1_000_000, func(s *Settings) *int { return &s.MaxCallers }),
	duration("handshake_limit", reachFleet, 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.HandshakeLimit }),
}

// fieldIndex finds a field by name.
var fieldIndex = func() map[string]int {
	index := make(map[string]int, len(fields))
	for i := range fields {
		index[fields[i].name] = i
	}
	return index
}()

func duration(name string, r reach, low, high time.Duration, at func(*Settings) *time.Duration) field {
	return field{
		name:      name,
		reach:     r,
		permitted: fmt.Sprintf("a duration from %s to %s", low, high),
		text:      func(s *Settings) string { return at(s).String() },
		copy:      func(dst, src *Settings) { *at(dst) = *at(src) },
		parse: func(s *Settings, text string) bool {
			d, err := time.ParseDuration(text)
			*at(s) = d
			return err == nil && d >= low && d <= high
		},
	}
}

func integer(name string, r reach, low, high int, at func(*Settings) *int) field {
	return field{
		name:      name,
		reach:     r,
		permitted: fmt.Sprintf("a whole number from %d to %d", low, high),
		text:      func(s *Settings) string { return strconv.Itoa(*at(s)) },
		copy:      func(dst, src *Settings) { *at(dst) = *at(src) },
		parse: func(s *Settings, text string) bool {
			n, err := strconv.Atoi(text)
			*at(s) = n
			return err == nil && n >= low && n <= high
		},
	}
}

func decimal(name string, r reach, low, high float64, at func(*Settings) *float64) field {
	return field{
		name:      name,
		reach:     r,
		permitted: fmt.Sprintf("a number from %g to %g", low, high),
		text:      func(s *Settings) string { return strconv.FormatFloat(*at(s), 'g', -1, 64) },
		copy:      func(dst, src *Settings) { *at(dst) = *at(src) },
		parse: func(s *Settings, text string) bool {
			x, err := strconv.ParseFloat(text, 64)
			*at(s) = x
			return err == nil && x >= low && x <= high
		},
	}
}

func bound(name string, r reach, at func(*Settings) *ReadBound) field {
	return field{
		name:      name,
		reach:     r,
		permitted: "session, latest or age",
		text:      func(s *Settings) string { return string(*at(s)) },
		copy:      func(dst, src *Settings) { *at(dst) = *at(src) },
		parse: func(s *Settings, text string) bool {
			b := ReadBound(text)
			*at(s) = b
			return b == BoundSession || b == BoundLatest || b == BoundAge
		},
	}
}
