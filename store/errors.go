package store

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of this package. ErrDamaged is the class of every *DamagedError.
var (
	ErrDamaged = eris.New("store: durable data is damaged")
	ErrLocked  = eris.New("store: the data folder is used by another process")
	ErrFailed  = eris.New("store: an earlier write failed, the state on disk is unknown")
	ErrClosed  = eris.New("store: closed")
)

// DamagedError says where durable data cannot be read any more. The process
// must stop: the member may have acknowledged what is missing.
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

// File returns the name of the damaged file within the data folder.
func (e *DamagedError) File() string { return e.file }

// Offset returns the place of the first damaged byte range in the file.
func (e *DamagedError) Offset() int64 { return e.offset }
