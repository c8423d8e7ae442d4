package abuse

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits are those of the requests that a process accepts.
type Limits struct {
	HeadBytes, BodyBytes int
	// SlowBytesPerSecond is a rate at which clients may send a body in calm, though it is slow.
	SlowBytesPerSecond int
}

// Head returns the head of a request without the empty line at its end; framing is the header field that announces the body.
type Head func(framing string) string

// Sizes of what the clients send.
const (
	longChunkBytes = 64 << 10
	// flood is how often longText is sent where there is no end: 16 MB.
	flood = 256
)

// longText is a long line without its end.
var longText = strings.Repeat("x", longChunkBytes)

// chunk returns a chunk of a chunked body, with extensions.
func chunk(data, extensions string) string {
	return fmt.Sprintf("%x%s\r\n%s\r\n", len(data), extensions, data)
}

// tinyFields returns header fields with short names that differ.
func tinyFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fmt.Fprintf(&fields, "\r\n%s: v", strconv.FormatInt(int64(i), 36))
	}
	return fields.String()
}

const (
	chunked    = "Transfer-Encoding: chunked"
	endOfHead  = "\r\n\r\n"
	tinyChunks = 64 << 10 // bytes of a body that comes in chunks of one byte
)

// Behaviours are clients of one listener, by name. Names say what a client does.
type Behaviours map[string]Behaviour

// Names returns the names in a fixed order.
func (b Behaviours) Names() []string { return slices.Sorted(maps.Keys(b)) }

// Of returns the behaviours that an HTTP listener has to bear.
func Of(head Head, limits Limits) Behaviours {
	length := func(bytes int) string { return fmt.Sprintf("Content-Length: %d", bytes) }
	almost := limits.BodyBytes/longChunkBytes - 1 // chunks: one is missing
	middling := limits.BodyBytes / 16
	slowly := longText[:limits.SlowBytesPerSecond*int(trickleInterval/time.Second)]
	ticks := strings.Repeat(chunk("x", ""), 1024)
	extended := strings.Repeat(chunk("x", ";name="+strings.Repeat("v", 512)), 16)
	return Behaviours{
		"large chunks, stopped short":      {Texts: []Text{{head(chunked) + endOfHead, 1}, {chunk(longText, ""), almost}}},
		"tiny chunks, stopped short":       {Texts: []Text{{head(chunked) + endOfHead, 1}, {ticks, tinyChunks / 1024}}},
		"chunk extensions":                 {Texts: []Text{{head(chunked) + endOfHead, 1}, {extended, 256}}},
		"a trailer without end":            {Texts: []Text{{head(chunked) + endOfHead + chunk("x", "") + "0\r\nTrailer: ", 1}, {longText, flood}}},
		"a length, stopped short":          {Texts: []Text{{head(length(limits.BodyBytes)) + endOfHead, 1}, {longText, almost}}},
		"a middling length, stopped short": {Texts: []Text{{head(length(middling)) + endOfHead + strings.Repeat("x", middling-1), 1}}},
		"a length, never sent":             {Texts: []Text{{head(length(limits.BodyBytes)) + endOfHead, 1}}, Returns: true},
		"a length, a byte a second":        {Texts: []Text{{head(length(longChunkBytes)) + endOfHead, 1}}, Trickle: "x", Returns: true},
		"a length, slowly":                 {Texts: []Text{{head(length(limits.BodyBytes)) + endOfHead, 1}, {slowly, 1}}, Trickle: slowly},
		"a length over the limit":          {Texts: []Text{{head(length(4*limits.BodyBytes)) + endOfHead, 1}, {longText, flood}}},
		"over the limit, in chunks":        {Texts: []Text{{head(chunked) + endOfHead, 1}, {chunk(longText, ""), flood}}},
		"a length and chunks":              {Texts: []Text{{head(length(5)+"\r\n"+chunked) + endOfHead, 1}, {longText, flood}}},
		"an expected 100-continue":         {Texts: []Text{{head(length(limits.BodyBytes)+"\r\nExpect: 100-continue") + endOfHead, 1}}, Returns: true},
		"a head below the limit":           {Texts: []Text{{head("X-Long: " + strings.Repeat("h", limits.HeadBytes-512)), 1}}, Returns: true},
		"one field without end":            {Texts: []Text{{head("X-Long: "), 1}, {longText, flood}}},
		"tiny fields without end":          {Texts: []Text{{head("X: y"), 1}, {tinyFields(8 << 10), flood}}},
		"a request line without end":       {Texts: []Text{{"GET /", 1}, {longText, flood}}},
		"a head, a byte a second":          {Texts: []Text{{head("X-Long: "), 1}}, Trickle: "x", Returns: true},
		"empty lines before a request":     {Texts: []Text{{strings.Repeat("\r\n", longChunkBytes/2), flood}}},
		"empty lines after a request":      {Texts: []Text{{head(length(4)) + endOfHead + "body", 1}, {strings.Repeat("\r\n", longChunkBytes/2), flood}}},
		"bytes after a request":            {Texts: []Text{{head(length(4)) + endOfHead + "body", 1}, {longText, flood}}},
		"silent connections":               {Returns: true},
		"half closed connections":          {Texts: []Text{{head(length(4)), 1}}, Halves: true, Returns: true},
		"reset connections":                {Texts: []Text{{head(length(limits.BodyBytes)) + endOfHead + longText, 1}}, Resets: true, Returns: true},
	}
}
