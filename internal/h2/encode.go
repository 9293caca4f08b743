package h2

import (
	"bytes"
	"errors"

	"golang.org/x/net/http2/hpack"
)

// encode turns the head of an HTTP/1.1 request, and further field lines, into a header
// block: the pseudo-headers first, Host as ":authority" (RFC 9113, section 8.3.1),
// names in lower case.
func (s *Session) encodeHeaders(head, extra []byte) error {
	line, rest, ok := bytes.Cut(head, crlf)
	method, target, okMethod := bytes.Cut(line, space)
	target, _, okTarget := bytes.Cut(target, space)
	if !ok || !okMethod || !okTarget {
		return errors.New("h2: a request without a request line")
	}
	s.encodeField(":method", string(method), false)
	s.encodeField(":scheme", "http", false)
	s.encodeField(":path", string(target), bytes.IndexByte(target, '?') >= 0)
	if host, ok := findHeader(rest, "host"); ok {
		s.encodeField(":authority", string(host), false)
	}
	for i, lines := range [...][]byte{rest, extra} {
		for len(lines) > 0 {
			line, lines, _ = bytes.Cut(lines, crlf)
			name, value, ok := bytes.Cut(line, colon)
			if !ok {
				return errors.New("h2: a header line without a name")
			}
			if !bytes.EqualFold(name, host) {
				name := string(bytes.ToLower(name))
				s.encodeField(name, string(bytes.TrimLeft(value, " ")), i > 0 || name == "idempotency-key" || name == "x-trace-id")
			}
		}
	}
	return nil
}

var crlf, space, colon, host = []byte("\r\n"), []byte(" "), []byte(":"), []byte("host")

// put encodes a field. One whose value is another with every request is never indexed
// (RFC 7541, section 6.2.3): it would only push out of the table what does come again.
// A buffer takes whatever is written to it.
func (s *Session) encodeField(name, value string, sensitive bool) {
	_ = s.enc.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: sensitive})
}

// find is the value of the first field line with a name.
func findHeader(lines []byte, name string) ([]byte, bool) {
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, crlf)
		if k, v, ok := bytes.Cut(line, colon); ok && len(k) == len(name) && bytes.EqualFold(k, []byte(name)) {
			return bytes.TrimLeft(v, " "), true
		}
	}
	return nil, false
}
