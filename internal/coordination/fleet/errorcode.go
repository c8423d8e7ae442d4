package fleet

import (
	"errors"

	"petrelhook/internal/coordination/replica"
	"petrelhook/internal/coordination/rollout"
)

// errorCode identifies the error of a Response for programs. The error text that is sent with it is for people.
type errorCode string

// The codes of the errors that clients handle specially.
const (
	codeMembershipChangePending errorCode = "membership_change_pending"
	codeStaleDriver             errorCode = "stale_driver"
)

// codedErrors maps each code to its error.
var codedErrors = map[errorCode]error{
	codeMembershipChangePending: replica.ErrMembershipChangePending,
	codeStaleDriver:             rollout.ErrStaleDriver,
}

// codedResponse is the form in which a Response is sent. Earlier versions send and read a plain Response.
type codedResponse struct {
	Response
	ErrorCode errorCode `json:"err_code,omitempty"` // the code of Response.Err or of the error of Response.Rollout; "" if it has none
}

// codeOf returns the code of an error, "" if it has none.
func codeOf(err error) errorCode {
	for code, coded := range codedErrors {
		if errors.Is(err, coded) {
			return code
		}
	}
	return ""
}

// responseError is an error that a coordinator has sent. It has the coordinator's text, and wraps the error that the code or the
// text identifies.
type responseError struct {
	text  string
	cause error // nil if the error is not one of codedErrors
}

func (e *responseError) Error() string { return e.text }
func (e *responseError) Unwrap() error { return e.cause }

// newResponseError returns the error of a response. Coordinators of earlier versions send no code; then the text identifies the
// error.
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
