package lease

// ErrOld is the former name of ErrStaleToken.
//
// Deprecated: use ErrStaleToken.
var ErrOld = ErrStaleToken

// ErrHeldHere is the former name of ErrAlreadyHeld.
//
// Deprecated: use ErrAlreadyHeld.
var ErrHeldHere = ErrAlreadyHeld

// ErrFull is the former name of ErrLimitReached.
//
// Deprecated: use ErrLimitReached.
var ErrFull = ErrLimitReached

// Seen is the former name of NewGuard.
//
// Deprecated: use NewGuard.
func Seen(newest Token) *Guard { return NewGuard(newest) }
