package placement

import (
	"strconv"
	"strings"
	"time"
)

const (
	minAffinityTokens = 600     // shared tokens from which a request goes where they are cached
	maxPartTokens     = 1 << 30 // of one part of a prompt
)

// Request is what placement knows of a request. A prompt has parts, as X-Prompt-Prefix lists them; the shared prefix is
// the prompt up to the last part that other requests may have in common with it.
type Request struct {
	PrefixKey       string          // of the shared prefix; "": there is none
	SharedTokens    int             // of the complete shared prefix
	PrefixTokens    int             // of its last part, which PrefixKey names, alone
	PromptTokens    int             // of the complete prompt, 0: unknown
	MaxOutputTokens int             // that are generated at most
	MaxGap          time.Duration   // gap target: the longest time between two parts of the answer that is in time; 0: none
	Tried           map[string]bool // servers that it was sent to, by ID
}

// HasAffinity reports whether a request goes where its shared prefix is cached.
func (r *Request) HasAffinity() bool { return r.PrefixKey != "" && r.SharedTokens >= minAffinityTokens }

// DecodeHeavy reports whether a request generates more tokens than its prompt has: a long answer.
func (r *Request) DecodeHeavy() bool { return r.MaxOutputTokens > max(r.PromptTokens, 0) }

// PrefillTokens returns the number of tokens that a server reads, depending on whether it has the last part of the
// shared prefix in its cache. The parts before that are shared by so many requests that all servers have them.
func (r *Request) PrefillTokens(cached bool) float64 {
	tokens := r.PromptTokens - r.SharedTokens
	if !cached {
		tokens += r.PrefixTokens
	}
	return float64(max(0, tokens))
}

// Work returns the work that a request adds to a server as it is sent; cached as for PrefillTokens.
func (r *Request) Work(cached bool) Work {
	w := Work{Requests: 1, PrefillTokens: r.PrefillTokens(cached)}
	if r.DecodeHeavy() {
		w.Streams = 1
	}
	return w
}

// ParsePrefix parses X-Prompt-Prefix, a prompt's parts as ID:TOKENS separated by commas, into the values of PrefixKey,
// SharedTokens and PrefixTokens. The last part is the request's own or its session's, and not shared. Where the header
// is not valid there is no shared prefix.
func ParsePrefix(header string) (key string, sharedTokens, prefixTokens int) {
	parts := strings.Split(header, ",")
	if header == "" || len(parts) < 2 {
		return "", 0, 0
	}
	for _, part := range parts[:len(parts)-1] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || id == "" || n < 0 || n > maxPartTokens {
			return "", 0, 0
		}
		key, prefixTokens = id, n
		sharedTokens += n
	}
	return key, sharedTokens, prefixTokens
}

// ParseUsage parses X-Token-Usage, PROMPT,OUTPUT: the tokens of the prompt, and those generated at most. It returns
// false where the header is not valid.
func ParseUsage(header string) (prompt, output int, ok bool) {
	in, out, found := strings.Cut(header, ",")
	prompt, errIn := strconv.Atoi(strings.TrimSpace(in))
	output, errOut := strconv.Atoi(strings.TrimSpace(out))
	if !found || errIn != nil || errOut != nil || prompt < 0 || output < 0 || prompt > maxPartTokens || output > maxPartTokens {
		return 0, 0, false
	}
	return prompt, output, true
}
