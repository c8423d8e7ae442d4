package platform

import (
	"bytes"
	"errors"
	"net/http"
)

// The errors of checkFraming. net/http hides from its handlers what makes the framing of a request ambiguous: it drops a
// Content-Length beside a chunked encoding and joins folded lines. The check therefore reads the head as it arrived on the
// connection.
var (
	errAmbiguousLength = errors.New("a body with a length and in chunks")
	errFoldedLine      = errors.New("a folded header line")
	errSpaceInName     = errors.New("a header name with a space")
	errBareCR          = errors.New("a bare CR in the head")
	errHeadNotSeen     = errors.New("a body in chunks needs a head of its own")
)

// checkFraming returns an error if the framing of a request is ambiguous. head is the request's head as it arrived on the
// connection. It may be missing, or be another request's if this one arrived in the same read as the one before it; that is
// accepted only if the body is not chunked.
func checkFraming(head []byte, req *http.Request) error {
	chunked := len(req.TransferEncoding) > 0
	line, rest, complete := bytes.Cut(head, []byte("\n"))
	requestLine := req.Method + " " + req.RequestURI + " " + req.Proto
	if !complete || string(bytes.TrimSuffix(line, []byte("\r"))) != requestLine {
		if chunked {
			return errHeadNotSeen
		}
		return nil
	}
	lengths, encodings := 0, 0
	for ended := false; !ended && len(rest) > 0; {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch name, _, _ := bytes.Cut(line, []byte(":")); {
		case len(line) == 0:
			ended = true
		case bytes.IndexByte(line, '\r') >= 0:
			return errBareCR
		case line[0] == ' ' || line[0] == '\t':
			return errFoldedLine
		case bytes.ContainsAny(name, " \t"):
			return errSpaceInName
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if encodings > 0 && lengths > 0 || encodings > 1 {
		return errAmbiguousLength
	}
	if chunked && encodings == 0 { // head was not complete
		return errHeadNotSeen
	}
	return nil
}
