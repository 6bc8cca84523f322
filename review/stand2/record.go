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
	counts     map[string]int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, counts: make(map[string]int)}, nil
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

// count counts an event that has no line of its own.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// violation records a broken rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("BROKEN: %s", text)
}

// close writes the counts and returns the number of violations.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("counts: %v", r.counts)
	r.write("violations: %d", len(r.violations))
	_ = r.f.Close()
	return len(r.violations)
}
