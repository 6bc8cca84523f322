package raft

import "testing"

// FuzzDecodeMembers guards against a log entry or a snapshot with a damaged list of members that
// ends the process.
func FuzzDecodeMembers(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x04, 0x08, 0x01, 0x12, 0x00})
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeMembers(data) })
}
