package fleet

import (
	"errors"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
)

// errorCode names, for programs, the error of a Response. The text that is sent beside it is for people.
type errorCode string

// The codes of the errors that clients tell apart.
const (
	codeMembershipChangePending errorCode = "membership_change_pending"
	codeStaleDriver             errorCode = "stale_driver"
)

var codedErrors = map[errorCode]error{
	codeMembershipChangePending: replica.ErrMembershipChangePending,
	codeStaleDriver:             rollout.ErrStaleDriver,
}

// codedResponse is the form in which a Response is sent. Earlier programs send and read a Response alone.
type codedResponse struct {
	Response
	ErrorCode errorCode `json:"err_code,omitempty"` // of Response.Err, or of the error of Response.Rollout; "": it has none
}

// codeOf returns the code of an error; "": it has none.
func codeOf(err error) errorCode {
	for code, known := range codedErrors {
		if errors.Is(err, known) {
			return code
		}
	}
	return ""
}

// responseError is an error that a coordinator has sent: the coordinator's text, and the error that it is known to be.
type responseError struct {
	text  string
	cause error // nil: it is none that clients tell apart
}

func (e *responseError) Error() string { return e.text }
func (e *responseError) Unwrap() error { return e.cause }

// newResponseError returns the error of a response. An earlier coordinator sends no code: then the text says which error it is.
func newResponseError(code errorCode, text string) error {
	if known, ok := codedErrors[code]; ok {
		return &responseError{text, known}
	}
	for _, known := range codedErrors {
		if text == known.Error() {
			return &responseError{text, known}
		}
	}
	return &responseError{text: text}
}
