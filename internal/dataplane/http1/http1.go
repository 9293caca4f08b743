// Package http1 parses HTTP/1.1 messages for event loops. A Parser takes the bytes of one
// connection as they arrive, holds one message at a time, and bounds the memory it uses.
// Framing that two parsers could interpret differently is an error.
package http1

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// Size limits of a message, in bytes unless stated otherwise.
const (
	MaxHeadBytes      = 16 << 10 // request or status line and all header fields
	MaxFields         = 100
	MaxBodyBytes      = 64 << 10 // body of a request
	MaxResponseBytes  = 1 << 20  // body of a response that is buffered whole
	MaxStreamedBytes  = 32 << 20 // body of a streamed message
	maxChunkLineBytes = 256      // a line between chunks
	maxTrailerBytes   = 4 << 10  // all trailers together

	maxSkippedBytes = 4 // empty lines before a request

	maxKeptBufferBytes = 4 << 10 // capacity of a buffer that is kept for the next message
)

// Limits replaces the default limits with configured ones. Several parsers may share one. It
// is read at each use, so a change applies to open connections. A field that is 0 keeps its
// default.
type Limits struct {
	HeadBytes         int // bytes of the request or status line and all header fields
	BufferedBodyBytes int // bytes of a body that is buffered whole
	StreamedBodyBytes int // bytes of a streamed body
}

// Error reports a message that is not accepted, with the HTTP status that states the reason.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func badMessage(reason string) *Error { return &Error{Status: 400, Reason: reason} }

type headerField struct{ name, value []byte }

// Message is a complete request or response. Its slices belong to the parser and are valid
// until the next Reset.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	Body           []byte
	Close          bool // the connection closes after this message
	ExpectContinue bool // the client waits for a 100 Continue before it sends the body
	Length         int  // of the body according to the head, or -1 if unknown until the body ends
	Streamed       bool // the body is streamed and not in Body
	HTTP10         bool // the message is HTTP/1.0, which has no chunked encoding
	HeadResponse   bool // response to a HEAD request: the stated length is not that of its body
	fields         []headerField
}

// Get returns the value of a header field, or nil if there is none. The name is matched
// without regard to case.
func (m *Message) Get(name string) []byte {
	for i := range m.fields {
		if EqualFold(m.fields[i].name, name) {
			return m.fields[i].value
		}
	}
	return nil
}

// Unique returns the value of a header field that occurs exactly once. If it occurs several
// times, two parsers could use different values.
func (m *Message) Unique(name string) (value []byte, ok bool) {
	for i := range m.fields {
		if EqualFold(m.fields[i].name, name) {
			if ok {
				return nil, false
			}
			value, ok = m.fields[i].value, true
		}
	}
	return value, ok
}

// Count returns how often a header field occurs.
func (m *Message) Count(name string) int {
	n := 0
	for i := range m.fields {
		if EqualFold(m.fields[i].name, name) {
			n++
		}
	}
	return n
}

// EachField calls fn for every header field, in order.
func (m *Message) EachField(fn func(name, value []byte)) {
	for _, f := range m.fields {
		fn(f.name, f.value)
	}
}

type parserState uint8

const (
	inHead parserState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	inBodyUntilClose // the body ends when the connection closes
	complete
)

// Parser parses the messages of one connection, one after the other.
type Parser struct {
	// OnBody, if set, is called with each piece of the body as it arrives, and Message.Body
	// stays empty. It allows responses without an end, such as a watch.
	OnBody func([]byte)
	// StreamBody allows bodies that are larger than the buffer. Feed stops when the buffer is
	// full, and MustStream then returns true; the rest goes to OnBody once that is set. It
	// also allows a response that ends when the connection closes.
	StreamBody bool
	// HeadResponse tells that the next response is to a HEAD request. It has no body, whatever
	// its head states.
	HeadResponse bool
	// Limits replaces the default limits if it is set.
	Limits *Limits

	message      Message
	responses    bool
	state        parserState
	head         []byte
	body         []byte
	line         []byte
	remaining    int  // bytes missing of the body or the chunk
	lineStart    int  // offset in head of the current line
	http10       bool // the message is HTTP/1.0
	skippedBytes int  // bytes of empty lines before the message
	trailerBytes int  // bytes of trailers so far
	bodyBytes    int  // bytes of the body so far
	overflow     bool // the body exceeds the buffer
}

// NewRequestParser returns a parser of requests.
func NewRequestParser() *Parser { return &Parser{} }

// NewResponseParser returns a parser of responses.
func NewResponseParser() *Parser { return &Parser{responses: true} }

// Message returns the message that Feed has completed, or the part of it that has arrived.
func (p *Parser) Message() *Message { return &p.message }

// Started reports whether part of a message has arrived.
func (p *Parser) Started() bool { return p.state != inHead || len(p.head) > 0 }

// Reset prepares the parser for the next message. It releases the buffers of a large message;
// otherwise hundreds of idle connections would each keep them.
func (p *Parser) Reset() {
	p.message = Message{fields: p.message.fields[:0]}
	p.state, p.remaining, p.lineStart, p.skippedBytes, p.trailerBytes, p.bodyBytes, p.overflow = inHead, 0, 0, 0, 0, 0, false
	if p.StreamBody {
		p.OnBody = nil
	}
	p.head, p.body, p.line = p.head[:0], p.body[:0], p.line[:0]
	if cap(p.head) > maxKeptBufferBytes {
		p.head = nil
	}
	if cap(p.body) > maxKeptBufferBytes {
		p.body = nil
	}
}

// HeadDone reports whether the head of the message is complete.
func (p *Parser) HeadDone() bool { return p.state != inHead }

// MustStream reports that the body exceeds the buffer and that OnBody is not set.
func (p *Parser) MustStream() bool { return p.overflow && p.OnBody == nil }

// TakeBody returns the buffered part of the body and removes it from the parser.
func (p *Parser) TakeBody() []byte {
	b := p.body
	p.body = nil
	return b
}

// ConnectionEnded tells the parser that the peer has closed the connection in an orderly way.
// It reports whether that completes the message.
func (p *Parser) ConnectionEnded() bool {
	if p.state != inBodyUntilClose {
		return false
	}
	p.state = complete
	p.message.Body = p.body
	return true
}

// Feed parses bytes up to the end of one message. It returns how many bytes it used and
// whether the message is complete.
func (p *Parser) Feed(b []byte) (taken int, done bool, err error) {
	for p.state != complete {
		rest := b[taken:]
		if len(rest) == 0 {
			return taken, false, nil
		}
		n, err := p.step(rest)
		taken += n
		if err != nil {
			return taken, false, err
		}
		if p.MustStream() {
			return taken, false, nil
		}
	}
	p.message.Body = p.body
	return taken, true, nil
}

// step uses at least one byte, or finds that the buffer is full.
func (p *Parser) step(b []byte) (int, error) {
	switch p.state {
	case inHead:
		return p.takeHead(b)
	case inBody, inChunk:
		n, err := p.takeBody(b[:min(p.remaining, len(b))])
		if err != nil {
			return n, err
		}
		if p.remaining -= n; p.remaining > 0 {
			return n, nil
		}
		if p.state == inBody {
			p.state = complete
		} else {
			p.state = inChunkEnd
		}
		return n, nil
	case inBodyUntilClose:
		return p.takeBody(b)
	default: // inChunkSize, inChunkEnd, inTrailer
		return p.takeLine(b)
	}
}

// takeBody takes bytes of the body: all of them, or as many as fit in the buffer.
func (p *Parser) takeBody(b []byte) (int, error) {
	switch {
	case p.tooLong(p.bodyBytes + len(b)):
		return 0, &Error{Status: 413, Reason: "the body is too long"}
	case p.OnBody != nil:
		p.OnBody(b)
	case p.StreamBody && len(p.body)+len(b) > p.MaxBuffered():
		b = b[:max(p.MaxBuffered()-len(p.body), 0)] // the limit may have been lowered meanwhile
		p.overflow = true
		p.body = append(p.body, b...)
	default:
		p.body = append(p.body, b...)
	}
	p.bodyBytes += len(b)
	return len(b), nil
}

// tooLong reports whether a body of n bytes exceeds the limit.
func (p *Parser) tooLong(n int) bool {
	if p.StreamBody {
		return n > p.MaxStreamed()
	}
	return p.OnBody == nil && n > p.maxBody()
}

// maxBody returns the size limit of a body that is not streamed. Memory is allocated only as
// the body arrives, not by its stated length.
func (p *Parser) maxBody() int {
	if p.responses {
		return MaxResponseBytes
	}
	return p.MaxBuffered()
}

// MaxBuffered returns how many bytes of a body are buffered before it must be streamed.
func (p *Parser) MaxBuffered() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.BufferedBodyBytes, MaxBodyBytes)
	}
	return MaxBodyBytes
}

// MaxStreamed returns the size limit of a streamed body.
func (p *Parser) MaxStreamed() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.StreamedBodyBytes, MaxStreamedBytes)
	}
	return MaxStreamedBytes
}

// maxHead returns the size limit of a head.
func (p *Parser) maxHead() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.HeadBytes, MaxHeadBytes)
	}
	return MaxHeadBytes
}

// takeHead collects one line of the head and parses it once it is complete. An invalid line is
// rejected as early as possible, because a peer that sends random bytes may never end it.
func (p *Parser) takeHead(b []byte) (int, error) {
	if len(p.head) == 0 && !p.responses { // empty lines before a request are ignored
		if skip := len(b) - len(bytes.TrimLeft(b, "\r\n")); skip > 0 {
			if p.skippedBytes += skip; p.skippedBytes > maxSkippedBytes {
				return skip, badMessage("empty lines in place of a request")
			}
			return skip, nil
		}
	}
	n := bytes.IndexByte(b, '\n') + 1
	found := n > 0
	if !found {
		n = len(b)
	}
	if len(p.head)+n > p.maxHead() {
		return n, &Error{Status: 431, Reason: "the header is too long"}
	}
	p.head = append(p.head, b[:n]...)
	if !found {
		return n, p.checkPartialLine(b)
	}
	line, _, err := cutLine(p.head[p.lineStart:])
	if err != nil {
		return n, err
	}
	first := p.lineStart == 0
	p.lineStart = len(p.head)
	switch {
	case first && p.responses:
		p.http10, err = p.statusLine(line)
	case first:
		p.http10, err = p.requestLine(line)
	case len(line) > 0:
		err = p.readField(line)
	default:
		err = p.readFraming(p.http10)
	}
	return n, err
}

// checkPartialLine checks more bytes of an incomplete line.
func (p *Parser) checkPartialLine(more []byte) error {
	const start = "HTTP/1."
	if p.responses && p.lineStart == 0 && string(p.head[:min(len(p.head), len(start))]) != start[:min(len(p.head), len(start))] {
		return badMessage("not an answer of HTTP/1.1")
	}
	for _, c := range more {
		if isControl(c) && c != '\r' || c >= 0x7f && p.lineStart == 0 {
			return badMessage("a line of the head holds what it can't")
		}
	}
	return nil
}

func isControl(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

// readField parses a header field.
func (p *Parser) readField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return badMessage("a header field has no proper name")
	}
	value := bytes.Trim(line[colon+1:], " \t")
	if slices.ContainsFunc(value, isControl) {
		return badMessage("a header value holds a control character")
	}
	if len(p.message.fields) == MaxFields {
		return &Error{Status: 431, Reason: "too many header fields"}
	}
	p.message.fields = append(p.message.fields, headerField{line[:colon], value})
	return nil
}

func cutLine(b []byte) (line, rest []byte, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0 {
		return nil, nil, badMessage("a line does not end as lines do")
	}
	return b[:i-1], b[i+1:], nil
}

func (p *Parser) requestLine(line []byte) (http10 bool, err error) {
	method, rest, ok1 := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok1 || !ok2 || !isToken(method) || len(target) == 0 {
		return false, badMessage("the request line is malformed")
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return false, badMessage("the request target holds what it can't")
		}
	}
	p.message.Method, p.message.Target = method, target
	return isHTTP10(version)
}

func isHTTP10(version []byte) (bool, error) {
	switch string(version) {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	return false, badMessage("the HTTP version is not 1.1")
}

func (p *Parser) statusLine(line []byte) (http10 bool, err error) {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	code, _, _ := bytes.Cut(rest, []byte{' '})
	n, ok := parseDigits(code, 999)
	if !ok || len(code) != 3 || n < 100 {
		return false, badMessage("the status line is malformed")
	}
	p.message.Status = n
	return isHTTP10(version)
}

// readFraming determines where the body ends and whether the connection stays open.
func (p *Parser) readFraming(http10 bool) error {
	message := &p.message
	chunked, length := false, -1
	message.Close, message.HTTP10, message.HeadResponse = http10, http10, p.responses && p.HeadResponse
	for _, field := range message.fields {
		switch {
		case EqualFold(field.name, "transfer-encoding"):
			if chunked || http10 || !EqualFold(field.value, "chunked") {
				return badMessage("a transfer encoding other than chunked")
			}
			chunked = true
		case EqualFold(field.name, "content-length"):
			n, ok := parseDigits(field.value, 1<<40)
			if !ok || length >= 0 {
				return badMessage("the content length is malformed or stands twice")
			}
			length = n
		case EqualFold(field.name, "connection"):
			for v := range bytes.SplitSeq(field.value, []byte{','}) {
				v = bytes.Trim(v, " \t")
				message.Close = message.Close && !EqualFold(v, "keep-alive") || EqualFold(v, "close")
			}
		case EqualFold(field.name, "expect"):
			message.ExpectContinue = EqualFold(field.value, "100-continue")
		}
	}
	if chunked && length >= 0 {
		return badMessage("both a content length and a transfer encoding")
	}
	if !p.responses && !http10 && message.Count("host") != 1 {
		return badMessage("not exactly one host field")
	}
	message.Length = length
	if chunked {
		message.Length = -1
	}
	noBody := message.HeadResponse || p.responses && (message.Status < 200 || message.Status == 204 || message.Status == 304)
	switch {
	case noBody && message.Status < 200 && message.Status != 101: // interim response: the final one follows
		p.Reset()
	case noBody, length == 0, !p.responses && !chunked && length < 0:
		p.state, message.Length = complete, 0
		message.Close = message.Close || p.responses && message.Status == 101 // the data after it is not HTTP/1.1
	case chunked:
		p.state = inChunkSize
	case p.tooLong(length):
		return &Error{Status: 413, Reason: "the body is too long"}
	case length > 0:
		p.state, p.remaining = inBody, length
	case p.StreamBody:
		p.state, message.Close = inBodyUntilClose, true
	default: // without StreamBody, a response that ends with its connection can't be told from a truncated one
		return badMessage("an answer without a length")
	}
	return nil
}

// takeLine collects one line between or after chunks, and parses it once it is complete.
func (p *Parser) takeLine(b []byte) (int, error) {
	n := bytes.IndexByte(b, '\n') + 1
	found := n > 0
	if !found {
		n = len(b)
	}
	if p.state == inTrailer {
		p.trailerBytes += n
	}
	limit := maxChunkLineBytes
	if p.state == inTrailer {
		limit = maxTrailerBytes
	}
	if p.line = append(p.line, b[:n]...); len(p.line) > limit || p.trailerBytes > maxTrailerBytes {
		return n, badMessage("a line between chunks is too long")
	}
	if !found {
		return n, nil
	}
	line, _, err := cutLine(p.line)
	if err != nil {
		return n, err
	}
	p.line = p.line[:0]
	switch {
	case p.state == inTrailer && len(line) == 0:
		p.state = complete
	case p.state == inTrailer: // trailers are ignored
	case p.state == inChunkEnd && len(line) > 0:
		return n, badMessage("a chunk is longer than it says")
	case p.state == inChunkEnd:
		p.state = inChunkSize
	default:
		size, _, _ := bytes.Cut(line, []byte{';'})
		chunkSize, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
		if err != nil || size[0] == '+' {
			return n, badMessage("a chunk's size is malformed")
		}
		p.state, p.remaining = inChunk, int(chunkSize)
		if chunkSize == 0 {
			p.state = inTrailer
		}
	}
	return n, nil
}

func parseDigits(b []byte, most int) (int, bool) {
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' || n > most/10 {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, len(b) > 0 && n <= most
}

func isToken(b []byte) bool {
	for _, c := range b {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !letter && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// EqualFold compares the name of a header field with a string, without regard to ASCII case.
func EqualFold(name []byte, want string) bool {
	if len(name) != len(want) {
		return false
	}
	for i, c := range name {
		d := want[i]
		if c != d && (c|0x20 != d|0x20 || c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return true
}

// Add appends a header field. The message keeps the slices.
func (m *Message) Add(name, value []byte) { m.fields = append(m.fields, headerField{name, value}) }
