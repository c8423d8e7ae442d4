package placement

import (
	"strconv"
	"strings"
	"time"
)

const (
	minAffinityTokens = 600     // least number of shared tokens for which a request prefers servers that have them cached
	maxHeaderTokens   = 1 << 30 // largest number of tokens that a header may state in one place
)

// Request describes a request to be placed. A prompt consists of parts, which the header X-Prompt-Prefix lists. All parts but
// the last may also occur in the prompts of other requests; together they are the shared prefix.
type Request struct {
	PrefixKey       string          // ID of the last part of the shared prefix; "": no shared prefix
	SharedTokens    int             // tokens of the complete shared prefix
	PrefixTokens    int             // tokens of the part that PrefixKey names
	PromptTokens    int             // tokens of the complete prompt; 0: unknown
	MaxOutputTokens int             // upper bound of the tokens that are generated
	MaxGap          time.Duration   // gap target: the longest acceptable time between two events of the answer; 0: none
	Tried           map[string]bool // IDs of the servers to which the request was sent
}

// HasAffinity reports whether a request prefers servers that have its shared prefix cached.
func (r *Request) HasAffinity() bool { return r.PrefixKey != "" && r.SharedTokens >= minAffinityTokens }

// DecodeHeavy reports whether a request may generate more tokens than its prompt has. Such a request has a long answer, and
// is counted in Work.Streams.
func (r *Request) DecodeHeavy() bool { return r.MaxOutputTokens > max(r.PromptTokens, 0) }

// PrefillTokens returns the number of prompt tokens that a server has to process; cached says whether the server has the
// last part of the shared prefix in its cache. All servers are assumed to have the earlier parts cached, because many
// requests share them.
func (r *Request) PrefillTokens(cached bool) float64 {
	tokens := r.PromptTokens - r.SharedTokens
	if !cached {
		tokens += r.PrefixTokens
	}
	return float64(max(0, tokens))
}

// Work returns the work that sending a request adds to a server; cached is as for PrefillTokens.
func (r *Request) Work(cached bool) Work {
	w := Work{Requests: 1, PrefillTokens: r.PrefillTokens(cached)}
	if r.DecodeHeavy() {
		w.Streams = 1
	}
	return w
}

// ParsePrefix parses the header X-Prompt-Prefix, which lists the parts of a prompt as ID:TOKENS separated by commas. It
// returns the values for PrefixKey, SharedTokens and PrefixTokens. The last part in the header belongs to the request or
// its session alone and is not shared. An invalid header means that there is no shared prefix.
func ParsePrefix(header string) (key string, sharedTokens, prefixTokens int) {
	parts := strings.Split(header, ",")
	if header == "" || len(parts) < 2 {
		return "", 0, 0
	}
	for _, part := range parts[:len(parts)-1] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || id == "" || n < 0 || n > maxHeaderTokens {
			return "", 0, 0
		}
		key, prefixTokens = id, n
		sharedTokens += n
	}
	return key, sharedTokens, prefixTokens
}

// ParseUsage parses the header X-Token-Usage, whose form is PROMPT,OUTPUT. It returns the number of tokens of the prompt and
// the upper bound of the number of generated tokens; ok is false if the header is invalid.
func ParseUsage(header string) (prompt, output int, ok bool) {
	promptText, outputText, found := strings.Cut(header, ",")
	prompt, promptErr := strconv.Atoi(strings.TrimSpace(promptText))
	output, outputErr := strconv.Atoi(strings.TrimSpace(outputText))
	if !found || promptErr != nil || outputErr != nil || prompt < 0 || output < 0 || prompt > maxHeaderTokens || output > maxHeaderTokens {
		return 0, 0, false
	}
	return prompt, output, true
}
