package raft

// Options that weaken one rule each, to show that the checker notices.
var (
	WithUnsyncedVote  = func(s *settings) { s.weak.unsyncedVote = true }
	WithOldTermCommit = func(s *settings) { s.weak.oldTermCommit = true }
	WithUnroundedRead = func(s *settings) { s.weak.unroundedRead = true }
	WithManyChanges   = func(s *settings) { s.weak.manyChanges = true }
)
