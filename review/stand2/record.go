package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the violations of the rules.
type record struct {
	start time.Time

	mu         sync.Mutex
	f          *os.File
	violations []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.f, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// violation records a broken rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("BROKEN: %s", text)
}

// close ends the record and returns the number of violations.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("violations: %d", len(r.violations))
	_ = r.f.Close()
	return len(r.violations)
}
