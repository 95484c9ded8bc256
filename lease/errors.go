package lease

import "errors"

// Errors of this package.
var (
	// ErrHeld means that another session holds the pool.
	ErrHeld = errors.New("pool is held by another session")
	// ErrAuthorityEnded means that the session is no longer valid.
	ErrAuthorityEnded = errors.New("authority has ended")
	// ErrUnavailable means that the key-value service did not answer; the pool's state is unknown.
	ErrUnavailable = errors.New("pool state cannot be read or written")
	// ErrBadRecord means that a pool record cannot be decoded.
	ErrBadRecord = errors.New("pool record is malformed")
	// ErrConfig means that the configuration is not usable.
	ErrConfig = errors.New("invalid lease configuration")
)
