package store

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of this package. Every *DamagedError matches ErrDamaged.
var (
	ErrDamaged = eris.New("store: persistent data is damaged")
	ErrLocked  = eris.New("store: the data directory is locked by another process")
	ErrFailed  = eris.New("store: an earlier write failed and the state on disk is unknown; the data directory must be opened again")
	ErrClosed  = eris.New("store: the store is closed")
)

// DamagedError reports where persistent data can no longer be read. The process
// must stop: the member may have acknowledged the data that is missing.
type DamagedError struct {
	file   string
	offset int64
	reason string
}

func damaged(file string, offset int, reason string) error {
	return &DamagedError{file: file, offset: int64(offset), reason: reason}
}

// Error names the file, the offset and the reason.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("store: %s is damaged at offset %d: %s", e.file, e.offset, e.reason)
}

// Is reports whether target is ErrDamaged.
func (e *DamagedError) Is(target error) bool { return target == ErrDamaged }

// File returns the name of the damaged file in the data directory.
func (e *DamagedError) File() string { return e.file }

// Offset returns the offset of the first damaged data in the file.
func (e *DamagedError) Offset() int64 { return e.offset }
