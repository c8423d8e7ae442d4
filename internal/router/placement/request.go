package placement

import (
	"strconv"
	"strings"
	"time"
)

const (
	sharedWorth = 600     // shared tokens from which a prompt is sent where they are kept
	maxTokens   = 1 << 30 // of one part
)

// Request is what is asked of a placement.
type Request struct {
	PrefixKey       string        // the longest shared part of the prompt; "": none
	SharedTokens    int           // tokens up to its end
	PrefixTokens    int           // tokens of that part alone
	PromptTokens    int           // tokens of the whole prompt, 0: not told
	MaxOutputTokens int           // tokens that are generated at most
	MaxGap          time.Duration // the longest between two parts of the answer that its route allows; 0: not said
	Tried           map[string]bool
}

// HasAffinity reports whether a request goes where its shared part is kept.
func (r *Request) HasAffinity() bool { return r.PrefixKey != "" && r.SharedTokens >= sharedWorth }

// DecodeHeavy reports whether a request generates more than it reads: a long answer.
func (r *Request) DecodeHeavy() bool { return r.MaxOutputTokens > max(r.PromptTokens, 0) }

// PrefillTokens is the tokens that a server reads, where it keeps the longest shared part or not. The parts before that are shared by so many
// that all servers keep them.
func (r *Request) PrefillTokens(kept bool) float64 {
	unread := r.PromptTokens - r.SharedTokens
	if !kept {
		unread += r.PrefixTokens
	}
	return float64(max(0, unread))
}

// Work is what a request has left to do at a server as it is sent.
func (r *Request) Work(kept bool) Work {
	w := Work{Requests: 1, PrefillTokens: r.PrefillTokens(kept)}
	if r.DecodeHeavy() {
		w.Streams = 1
	}
	return w
}

// ParsePrefix reads X-Prompt-Prefix, parts as ID:TOKENS by commas: the key of the longest part that others may share, the
// tokens up to its end, and of it alone. The last part is the request's own or its session's.
func ParsePrefix(header string) (key string, shared, part int) {
	parts := strings.Split(header, ",")
	if header == "" || len(parts) < 2 {
		return "", 0, 0
	}
	for _, one := range parts[:len(parts)-1] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(one), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || id == "" || n < 0 || n > maxTokens {
			return "", 0, 0
		}
		key, part = id, n
		shared += n
	}
	return key, shared, part
}

// ParseUsage reads X-Token-Usage: the tokens of the prompt, and those generated at most.
func ParseUsage(header string) (prompt, output int, ok bool) {
	in, out, found := strings.Cut(header, ",")
	prompt, errIn := strconv.Atoi(strings.TrimSpace(in))
	output, errOut := strconv.Atoi(strings.TrimSpace(out))
	if !found || errIn != nil || errOut != nil || prompt < 0 || output < 0 || prompt > maxTokens || output > maxTokens {
		return 0, 0, false
	}
	return prompt, output, true
}
