package handover

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

const (
	version = 1
	magic   = "petrelhook handover"
	// maxState is the largest state in bytes, more than the largest fleets need.
	maxState = 64 << 20
	// maxHelloLine is the longest hello in bytes.
	maxHelloLine = 128
	// maxLinkLine is the longest line of a link in bytes: a complete list of servers of the largest fleets.
	maxLinkLine = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The errors of a hand-over: the other process uses another version of the format, sent something that is not in this format, or
// sent a state that does not match the announced checksum.
var (
	ErrVersion   = errors.New("another version")
	ErrMalformed = errors.New("malformed hand-over")
	ErrDamaged   = errors.New("the state is damaged")
)

// hello returns the first line that the successor sends. The process in service answers it with a header.
func hello() string { return fmt.Sprintf("%s %d\n", magic, version) }

// header returns the line that announces a state. The listening socket is sent with its first byte, and the state follows.
func header(state []byte) string {
	return fmt.Sprintf("%s %d %d %08x\n", magic, version, len(state), crc32.Checksum(state, castagnoli))
}

// parseVersion parses a hello or a header up to its version, and returns the rest. It returns ErrVersion if the version is not
// ours.
func parseVersion(line string) (rest string, err error) {
	var got int
	afterMagic, ok := strings.CutPrefix(line, magic+" ")
	if !ok {
		return "", fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	number, rest, _ := strings.Cut(strings.TrimSuffix(afterMagic, "\n"), " ")
	if _, err := fmt.Sscanf(number, "%d", &got); err != nil {
		return "", fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	if got != version {
		return "", fmt.Errorf("%w: %d, want %d", ErrVersion, got, version)
	}
	return rest, nil
}

// parseHeader returns the length and the checksum of the state that a header announces.
func parseHeader(line string) (length int, checksum uint32, err error) {
	rest, err := parseVersion(line)
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscanf(rest, "%d %x", &length, &checksum); err != nil || length < 0 || length > maxState {
		return 0, 0, fmt.Errorf("%w: %q", ErrMalformed, line)
	}
	return length, checksum, nil
}

// verifyChecksum returns ErrDamaged if the state does not match the announced checksum.
func verifyChecksum(state []byte, announced uint32) error {
	if got := crc32.Checksum(state, castagnoli); got != announced {
		return fmt.Errorf("%w: checksum %08x, announced %08x", ErrDamaged, got, announced)
	}
	return nil
}
