// Package http1 reads and writes HTTP/1.1 messages for event loops. A Parser
// takes the bytes of one connection as they come, holds one message at a time,
// and bounds what it holds. Framing that two readers could read differently is
// an error, never a guess.
package http1

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strconv"
)

// The bounds of a message.
const (
	MaxHead           = 16 << 10 // request or status line and all header fields
	MaxFields         = 100
	MaxBody           = 64 << 10 // of a request
	MaxAnswer         = 1 << 20  // of an answer that is held whole
	MaxLarge          = 32 << 20 // of a message that flows through
	maxChunkLineBytes = 256      // a line between chunks
	maxTrailerBytes   = 4 << 10  // all trailers together

	maxSkippedBytes = 4 // bytes of empty lines before a request

	maxKeptBufferBytes = 4 << 10 // bytes of a buffer that are kept for the next message
)

// Limits are bounds in the place of the constants, as an operator sets them. Many parsers
// may share one: it is read at use, so that a change holds for connections that are open.
// A field that is 0 stands for its constant.
type Limits struct {
	Head  int // bytes of a request or status line and all header fields
	Body  int // of a body that is held whole
	Large int // of a body that flows through
}

// Error is a message that can't be taken, with the status that says so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Reason, e.Status) }

func badMessage(reason string) *Error { return &Error{Status: 400, Reason: reason} }

type headerField struct{ name, value []byte }

// Message is a whole request or answer. Its slices belong to the parser and hold
// until the next Reset.
type Message struct {
	Method, Target []byte // of a request
	Status         int    // of an answer
	Body           []byte
	Close          bool // the connection ends after this message
	Continue       bool // the client waits for a 100 before it sends the body
	Length         int  // of the body as the head states it, -1 where only its end will tell
	Large          bool // the body flows through: it is not in Body
	Old            bool // HTTP/1.0, which has no chunks
	Bare           bool // it answers a HEAD: the length that its head states is not its own
	fields         []headerField
}

// Get is the value of a header field, nil where there is none. The name is
// matched without regard to case.
func (m *Message) Get(name string) []byte {
	for i := range m.fields {
		if EqualFold(m.fields[i].name, name) {
			return m.fields[i].value
		}
	}
	return nil
}

// Single is the value of a header field that stands in the message exactly once.
// Two readers may take different ones of several.
func (m *Message) Single(name string) (value []byte, ok bool) {
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

// Count tells how often a header field stands in the message.
func (m *Message) Count(name string) int {
	n := 0
	for i := range m.fields {
		if EqualFold(m.fields[i].name, name) {
			n++
		}
	}
	return n
}

// Each calls do for every header field, in order.
func (m *Message) Each(fn func(name, value []byte)) {
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
	inBodyUntilClose // all that comes until the connection ends
	complete
)

// Parser reads the messages of one connection, one after the other.
type Parser struct {
	// Piece, where set, is given the pieces of an answer's body as they come,
	// and Body stays empty: for answers that have no end, like a watch.
	Piece func([]byte)
	// Flows lets a body be longer than is held. Feed stops at what may be held, and Full
	// tells so: the rest goes to Piece, once that is set. It also lets an answer end with
	// its connection.
	Flows bool
	// Bare tells that the answer due is to a HEAD: it has no body, whatever its head says.
	Bare bool
	// Limits, where set, is in the place of the constants.
	Limits *Limits

	msg          Message
	responses    bool
	state        parserState
	head         []byte
	body         []byte
	line         []byte
	remaining    int  // bytes to come of the body or the chunk
	lineStart    int  // where in head the line begins that is being read
	http10       bool // HTTP/1.0
	skippedBytes int  // bytes of empty lines before the message
	trailerBytes int  // bytes of trailers
	bodyBytes    int  // bytes of the body so far
	overflow     bool // there is more of the body than may be held
}

// Requests makes a parser of requests.
func Requests() *Parser { return &Parser{} }

// Answers makes a parser of answers.
func Answers() *Parser { return &Parser{responses: true} }

// Message is the message that Feed has completed, or what is there of it.
func (p *Parser) Message() *Message { return &p.msg }

// Started tells whether a part of a message has come.
func (p *Parser) Started() bool { return p.state != inHead || len(p.head) > 0 }

// Reset makes room for the next message. What a large one took is given back: with
// hundreds of connections it would stay taken by those at rest.
func (p *Parser) Reset() {
	p.msg = Message{fields: p.msg.fields[:0]}
	p.state, p.remaining, p.lineStart, p.skippedBytes, p.trailerBytes, p.bodyBytes, p.overflow = inHead, 0, 0, 0, 0, 0, false
	if p.Flows {
		p.Piece = nil
	}
	p.head, p.body, p.line = p.head[:0], p.body[:0], p.line[:0]
	if cap(p.head) > maxKeptBufferBytes {
		p.head = nil
	}
	if cap(p.body) > maxKeptBufferBytes {
		p.body = nil
	}
}

// HeadDone tells whether the head of the message has been read.
func (p *Parser) HeadDone() bool { return p.state != inHead }

// Full tells that there is more of the body than may be held, and no Piece to give it to.
func (p *Parser) Full() bool { return p.overflow && p.Piece == nil }

// Held gives out what there is of the body, which the parser does not keep.
func (p *Parser) Held() []byte {
	b := p.body
	p.body = nil
	return b
}

// End tells the parser that the connection has come to its proper end, and whether that
// makes the message whole.
func (p *Parser) End() bool {
	if p.state != inBodyUntilClose {
		return false
	}
	p.state = complete
	p.msg.Body = p.body
	return true
}

// Feed takes bytes up to the end of one message. It returns how many it took and
// whether the message is whole.
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
		if p.Full() {
			return taken, false, nil
		}
	}
	p.msg.Body = p.body
	return taken, true, nil
}

// step takes at least one byte, or finds that no more may be held.
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

// take takes bytes of the body: all of them, or as many as may be held.
func (p *Parser) takeBody(b []byte) (int, error) {
	switch {
	case p.tooLong(p.bodyBytes + len(b)):
		return 0, &Error{Status: 413, Reason: "the body is too long"}
	case p.Piece != nil:
		p.Piece(b)
	case p.Flows && len(p.body)+len(b) > p.Holds():
		b = b[:max(p.Holds()-len(p.body), 0)] // the limit may have come down meanwhile
		p.overflow = true
		p.body = append(p.body, b...)
	default:
		p.body = append(p.body, b...)
	}
	p.bodyBytes += len(b)
	return len(b), nil
}

// tooLong tells whether a body of so many bytes is more than is taken.
func (p *Parser) tooLong(n int) bool {
	if p.Flows {
		return n > p.Carries()
	}
	return p.Piece == nil && n > p.maxBody()
}

// most is the longest body that is taken. What a length claims is only held as it comes.
func (p *Parser) maxBody() int {
	if p.responses {
		return MaxAnswer
	}
	return p.Holds()
}

// Holds is how many bytes of a body are held at most where it may flow.
func (p *Parser) Holds() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.Body, MaxBody)
	}
	return MaxBody
}

// Carries is how long a body may be that flows.
func (p *Parser) Carries() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.Large, MaxLarge)
	}
	return MaxLarge
}

// heads is how long a head may be.
func (p *Parser) maxHead() int {
	if p.Limits != nil {
		return cmp.Or(p.Limits.Head, MaxHead)
	}
	return MaxHead
}

// takeHead gathers the bytes of one line of the head and reads it once it is whole.
// A line that can't be one is refused as it comes: who sends noise may never end it.
func (p *Parser) takeHead(b []byte) (int, error) {
	if len(p.head) == 0 && !p.responses { // an empty line before a request is let pass
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

// partLine looks at more of a line whose end has not come.
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

// field reads one line of the header.
func (p *Parser) readField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !isToken(line[:colon]) {
		return badMessage("a header field has no proper name")
	}
	value := bytes.Trim(line[colon+1:], " \t")
	if slices.ContainsFunc(value, isControl) {
		return badMessage("a header value holds a control character")
	}
	if len(p.msg.fields) == MaxFields {
		return &Error{Status: 431, Reason: "too many header fields"}
	}
	p.msg.fields = append(p.msg.fields, headerField{line[:colon], value})
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
	p.msg.Method, p.msg.Target = method, target
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
	p.msg.Status = n
	return isHTTP10(version)
}

// framing finds where the body ends and whether the connection lasts.
func (p *Parser) readFraming(http10 bool) error {
	message := &p.msg
	chunked, length := false, -1
	message.Close, message.Old, message.Bare = http10, http10, p.responses && p.Bare
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
			message.Continue = EqualFold(field.value, "100-continue")
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
	noBody := message.Bare || p.responses && (message.Status < 200 || message.Status == 204 || message.Status == 304)
	switch {
	case noBody && message.Status < 200 && message.Status != 101: // interim: the answer is still to come
		p.Reset()
	case noBody, length == 0, !p.responses && !chunked && length < 0:
		p.state, message.Length = complete, 0
		message.Close = message.Close || p.responses && message.Status == 101 // what comes behind it is no HTTP/1.1
	case chunked:
		p.state = inChunkSize
	case p.tooLong(length):
		return &Error{Status: 413, Reason: "the body is too long"}
	case length > 0:
		p.state, p.remaining = inBody, length
	case p.Flows:
		p.state, message.Close = inBodyUntilClose, true
	default: // only its connection's end would end it, and so would a worker's
		return badMessage("an answer without a length")
	}
	return nil
}

// takeLine gathers one line between or behind chunks.
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
	case p.state == inTrailer: // trailers are dropped
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

// EqualFold compares the name of a header field, without regard to case.
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

// Add puts a header field behind those that the message has. The slices are kept.
func (m *Message) Add(name, value []byte) { m.fields = append(m.fields, headerField{name, value}) }
