package h2

import (
	"bytes"
	"errors"

	"golang.org/x/net/http2/hpack"
)

// encodeHeaders converts the head of an HTTP/1.1 request, and further header lines, into a
// header block: pseudo-headers first, Host as ":authority" (RFC 9113, section 8.3.1), names in
// lower case.
func (s *Session) encodeHeaders(head, extra []byte) error {
	line, rest, ok := bytes.Cut(head, crlf)
	method, target, okMethod := bytes.Cut(line, space)
	target, _, okTarget := bytes.Cut(target, space)
	if !ok || !okMethod || !okTarget {
		return errors.New("h2: request has no request line")
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
				return errors.New("h2: header line has no colon")
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

// encodeField encodes a field. A field whose value differs in every request is marked
// sensitive, so that it is never indexed (RFC 7541, section 6.2.3): it would only evict
// reusable fields from the table. Writing to the buffer can't fail.
func (s *Session) encodeField(name, value string, sensitive bool) {
	_ = s.encoder.WriteField(hpack.HeaderField{Name: name, Value: value, Sensitive: sensitive})
}

// findHeader returns the value of the first header line with a name.
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
