package platform

import (
	"bytes"
	"errors"
	"net/http"
)

// What net/http reads of a head leaves out what would make its framing ambiguous: a length beside chunks is dropped, a folded
// line is joined. So the head is looked at as it came.

var (
	errTwoLengths = errors.New("a body with a length and in chunks")
	errFolded     = errors.New("a folded header line")
	errOddName    = errors.New("a header name with a space")
	errBareCR     = errors.New("a bare CR in the head")
	errUnseen     = errors.New("a body in chunks needs a head of its own")
)

// framed says what is ambiguous in the framing of a request, whose head is given as it came. A head that is not that of the
// request (one that came in the same piece as the request before it) is enough where the length is plain.
func framed(head []byte, req *http.Request) error {
	chunked := len(req.TransferEncoding) > 0
	line, rest, ok := bytes.Cut(head, []byte("\n"))
	if own := req.Method + " " + req.RequestURI + " " + req.Proto; !ok || string(bytes.TrimSuffix(line, []byte("\r"))) != own {
		if chunked {
			return errUnseen
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
			return errFolded
		case bytes.IndexAny(name, " \t") >= 0:
			return errOddName
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			encodings++
		}
	}
	if encodings > 0 && lengths > 0 || encodings > 1 {
		return errTwoLengths
	}
	if chunked && encodings == 0 { // it was not seen whole
		return errUnseen
	}
	return nil
}
