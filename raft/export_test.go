package raft

// Options that each disable one rule of the protocol, to show that the checker
// detects the violation.
var (
	WithUnsyncedVote      = func(s *settings) { s.unsafe.unsyncedVote = true }
	WithOldTermCommit     = func(s *settings) { s.unsafe.oldTermCommit = true }
	WithUnroundedRead     = func(s *settings) { s.unsafe.unroundedRead = true }
	WithConcurrentChanges = func(s *settings) { s.unsafe.concurrentChanges = true }
)
