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
	// maxState is more than the largest fleets need.
	maxState     = 64 << 20
	maxHelloLine = 128
	// maxLinkLine is the longest line of a link: a whole list of the largest fleets.
	maxLinkLine = 8 << 20
)

// hello is what the next process says first.
func hello() string { return fmt.Sprintf("%s %d\n", magic, version) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header announces a state.
func header(state []byte) string {
	return fmt.Sprintf("%s %d %d %08x\n", magic, version, len(state), crc32.Checksum(state, castagnoli))
}

// ErrVersion is a process of another version: nothing is handed over between them.
var ErrVersion = errors.New("another version")

// parseVersion reads a line of either side up to its version, and gives what follows.
func parseVersion(line string) (rest string, err error) {
	var v int
	after, ok := strings.CutPrefix(line, magic+" ")
	if !ok {
		return "", fmt.Errorf("no hand-over: %q", line)
	}
	number, rest, _ := strings.Cut(strings.TrimSuffix(after, "\n"), " ")
	if _, err := fmt.Sscanf(number, "%d", &v); err != nil {
		return "", fmt.Errorf("no hand-over: %q", line)
	}
	if v != version {
		return "", fmt.Errorf("%w: %d, ours is %d", ErrVersion, v, version)
	}
	return rest, nil
}

// parseHeader reads a header.
func parseHeader(line string) (length int, sum uint32, err error) {
	rest, err := parseVersion(line)
	if err != nil {
		return 0, 0, err
	}
	if _, err := fmt.Sscanf(rest, "%d %x", &length, &sum); err != nil || length < 0 || length > maxState {
		return 0, 0, fmt.Errorf("no hand-over: %q", line)
	}
	return length, sum, nil
}

// verifyChecksum says whether a state came whole and unchanged.
func verifyChecksum(state []byte, sum uint32) error {
	if got := crc32.Checksum(state, castagnoli); got != sum {
		return fmt.Errorf("the state is damaged: checksum %08x, announced %08x", got, sum)
	}
	return nil
}
