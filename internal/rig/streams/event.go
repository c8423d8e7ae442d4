package streams

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Event is one event of a stream.
type Event struct {
	Subject string // of the stream: that of the client's request
	Run     string // of a server, which produced the event
	After   int    // the event after which the run began; 0: it began with the first one
	Number  int    // of the event, from 1
	Padding string // more data
}

// ErrDamaged is the error of Parse for what no server has sent.
var ErrDamaged = errors.New("no event of a server")

// Encode returns the event as it is sent, with its number as id, or without an id.
func (e Event) Encode(numbered bool, newline string) string {
	content := fmt.Sprintf("%s %s %d %d %s", e.Subject, e.Run, e.After, e.Number, e.Padding)
	text := fmt.Sprintf("data: %s %08x%s%s", content, crc32.ChecksumIEEE([]byte(content)), newline, newline)
	if numbered {
		text = "id: " + strconv.Itoa(e.Number) + newline + text
	}
	return text
}

// Parse returns the event that has these lines. ok is false for a comment.
func Parse(lines []string) (e Event, ok bool, err error) {
	id := ""
	for _, line := range lines {
		switch {
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			if e, err = parseData(line[len("data: "):]); err != nil {
				return Event{}, false, err
			}
			ok = true
		case !strings.HasPrefix(line, ":"):
			return Event{}, false, fmt.Errorf("%w: %q", ErrDamaged, line)
		}
	}
	if id != "" && id != strconv.Itoa(e.Number) {
		return Event{}, false, fmt.Errorf("%w: id %q of event %d", ErrDamaged, id, e.Number)
	}
	return e, ok, nil
}

// parseData parses the data of an event.
func parseData(data string) (e Event, err error) {
	i := strings.LastIndexByte(data, ' ')
	if i < 0 || data[i+1:] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(data[:i]))) {
		return Event{}, fmt.Errorf("%w: %.80q", ErrDamaged, data)
	}
	if _, err = fmt.Sscanf(data[:i], "%s %s %d %d", &e.Subject, &e.Run, &e.After, &e.Number); err != nil {
		return Event{}, fmt.Errorf("%w: %.80q", ErrDamaged, data)
	}
	return e, nil
}
