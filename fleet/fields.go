package fleet

import (
	"fmt"
	"strconv"
	"time"
)

// overrideScope says which exceptions may override a field.
type overrideScope int

const (
	overrideNever       overrideScope = iota // no exception: the field has one value for all instances
	overridePerDatabase                      // exceptions whose scope names only a database
	overrideAnyScope                         // all exceptions
)

// field describes one field of Settings and its form in the document.
type field struct {
	name      string
	override  overrideScope
	permitted string
	parse     func(s *Settings, text string) bool
	format    func(s *Settings) string
	copy      func(dst, src *Settings)
}

const (
	kib = 1 << 10 // bytes
	mib = 1 << 20 // bytes
)

// fields lists all fields in the order in which documents are written. No
// exception may override the lease length: a new owner waits until the longest
// lease of the old owner has ended, so the length must be known for every
// database.
var fields = []field{
	duration("deadline", overrideAnyScope, time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.Deadline }),
	duration("queue_wait", overrideAnyScope, time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.QueueWait }),
	decimal("retry_budget", overridePerDatabase, 0, 1, func(s *Settings) *float64 { return &s.RetryBudget }),
	integer("breaker_failures", overridePerDatabase, 1, 1000, func(s *Settings) *int { return &s.BreakerFailures }),
	duration("breaker_open", overridePerDatabase, 10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.BreakerOpen }),
	decimal("long_share", overridePerDatabase, 0.01, 0.9, func(s *Settings) *float64 { return &s.LongShare }),
	decimal("long_factor", overridePerDatabase, 1.5, 1000, func(s *Settings) *float64 { return &s.LongFactor }),
	duration("commit_timeout", overrideAnyScope, 10*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.CommitTimeout }),
	readBound("read_bound", overrideAnyScope, func(s *Settings) *ReadBound { return &s.ReadBound }),
	duration("max_age", overrideAnyScope, time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.MaxAge }),
	duration("replica_wait", overrideAnyScope, 0, 10*time.Second, func(s *Settings) *time.Duration { return &s.ReplicaWait }),
	duration("silence_limit", overridePerDatabase, 50*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.SilenceLimit }),
	duration("probe_interval", overridePerDatabase, 50*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.ProbeInterval }),
	integer("max_connections", overridePerDatabase, 1, 10_000, func(s *Settings) *int { return &s.MaxConnections }),
	integer("idle_connections", overridePerDatabase, 0, 1000, func(s *Settings) *int { return &s.IdleConnections }),
	duration("lease_length", overrideNever, 50*time.Millisecond, time.Second, func(s *Settings) *time.Duration { return &s.LeaseLength }),
	duration("detect_timeout", overridePerDatabase, 100*time.Millisecond, 5*time.Second, func(s *Settings) *time.Duration { return &s.DetectTimeout }),
	duration("shutdown_limit", overrideNever, time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.ShutdownLimit }),
	integer("max_message", overrideNever, 8*kib, 256*mib, func(s *Settings) *int { return &s.MaxMessageBytes }),
	integer("max_callers", overrideNever, 1, 1_000_000, func(s *Settings) *int { return &s.MaxCallers }),
	duration("handshake_limit", overrideNever, 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.HandshakeLimit }),
}

// fieldIndex maps the name of a field to its index in fields.
var fieldIndex = func() map[string]int {
	index := make(map[string]int, len(fields))
	for i := range fields {
		index[fields[i].name] = i
	}
	return index
}()

func duration(name string, o overrideScope, low, high time.Duration, ptr func(*Settings) *time.Duration) field {
	return field{
		name:      name,
		override:  o,
		permitted: fmt.Sprintf("a duration from %s to %s", low, high),
		format:    func(s *Settings) string { return ptr(s).String() },
		copy:      func(dst, src *Settings) { *ptr(dst) = *ptr(src) },
		parse: func(s *Settings, text string) bool {
			d, err := time.ParseDuration(text)
			*ptr(s) = d
			return err == nil && d >= low && d <= high
		},
	}
}

func integer(name string, o overrideScope, low, high int, ptr func(*Settings) *int) field {
	return field{
		name:      name,
		override:  o,
		permitted: fmt.Sprintf("a whole number from %d to %d", low, high),
		format:    func(s *Settings) string { return strconv.Itoa(*ptr(s)) },
		copy:      func(dst, src *Settings) { *ptr(dst) = *ptr(src) },
		parse: func(s *Settings, text string) bool {
			n, err := strconv.Atoi(text)
			*ptr(s) = n
			return err == nil && n >= low && n <= high
		},
	}
}

func decimal(name string, o overrideScope, low, high float64, ptr func(*Settings) *float64) field {
	return field{
		name:      name,
		override:  o,
		permitted: fmt.Sprintf("a number from %g to %g", low, high),
		format:    func(s *Settings) string { return strconv.FormatFloat(*ptr(s), 'g', -1, 64) },
		copy:      func(dst, src *Settings) { *ptr(dst) = *ptr(src) },
		parse: func(s *Settings, text string) bool {
			x, err := strconv.ParseFloat(text, 64)
			*ptr(s) = x
			return err == nil && x >= low && x <= high
		},
	}
}

func readBound(name string, o overrideScope, ptr func(*Settings) *ReadBound) field {
	return field{
		name:      name,
		override:  o,
		permitted: "session, latest or age",
		format:    func(s *Settings) string { return string(*ptr(s)) },
		copy:      func(dst, src *Settings) { *ptr(dst) = *ptr(src) },
		parse: func(s *Settings, text string) bool {
			b := ReadBound(text)
			*ptr(s) = b
			return b == BoundSession || b == BoundLatest || b == BoundAge
		},
	}
}
