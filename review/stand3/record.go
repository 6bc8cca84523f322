package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, with the time since the start.
type record struct {
	mu         sync.Mutex
	file       *os.File
	w          *bufio.Writer
	start      time.Time
	violations int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f ", time.Since(r.start).Seconds())
	_, _ = fmt.Fprintf(r.w, format+"\n", args...)
}

// note writes a line to the file and to standard output.
func (r *record) note(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// violation notes that a rule was broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	n := r.violations
	r.mu.Unlock()
	if n <= 20 {
		r.note("BROKEN "+format, args...)
		return
	}
	r.add("BROKEN "+format, args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
