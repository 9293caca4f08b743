package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// parsedMessage is the result of parsing a message.
type parsedMessage struct {
	Line, Body string
	Close      bool
	Err        int
}

// parseAll parses all messages in text, in pieces of n bytes.
func parseAll(parser *Parser, text string, n int) []parsedMessage {
	var all []parsedMessage
	for b := []byte(text); len(b) > 0; {
		taken, done, err := parser.Feed(b[:min(n, len(b))])
		b = b[taken:]
		message := parser.Message()
		line := string(message.Method) + " " + string(message.Target)
		if parser.responses {
			line = strings.Repeat("x", message.Status/100)
		}
		var fault *Error
		if errors.As(err, &fault) {
			return append(all, parsedMessage{Err: fault.Status})
		}
		if done {
			all = append(all, parsedMessage{Line: line, Body: string(message.Body), Close: message.Close})
			parser.Reset()
		}
	}
	return all
}

const host = "Host: a\r\n"

func TestParseIsIndependentOfPieceSize(t *testing.T) {
	long := strings.Repeat("x", MaxBodyBytes+1)
	for name, tc := range map[string]struct {
		text    string
		answers bool
		want    []parsedMessage
	}{
		"two in a row": {text: "GET /a HTTP/1.1\r\n" + host + "\r\nPOST /b HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nxyz",
			want: []parsedMessage{{Line: "GET /a"}, {Line: "POST /b", Body: "xyz"}}},
		"chunked": {text: "POST /b HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nxyz\r\n0\r\nT: 1\r\n\r\n",
			want: []parsedMessage{{Line: "POST /b", Body: "xyz"}}},
		"closing":                 {text: "GET / HTTP/1.1\r\n" + host + "Connection: x, close\r\n\r\n", want: []parsedMessage{{Line: "GET /", Close: true}}},
		"of HTTP/1.0":             {text: "GET / HTTP/1.0\r\n\r\n", want: []parsedMessage{{Line: "GET /", Close: true}}},
		"interim response":        {text: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny", answers: true, want: []parsedMessage{{Line: "xx", Body: "y"}}},
		"response without body":   {text: "HTTP/1.1 204 N\r\n\r\n", answers: true, want: []parsedMessage{{Line: "xx"}}},
		"switching protocols":     {text: "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n", answers: true, want: []parsedMessage{{Line: "x", Close: true}}},
		"length and chunks":       {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"two lengths":             {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"signed length":           {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"signed chunk":            {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\n", want: []parsedMessage{{Err: 400}}},
		"other coding":            {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"no host":                 {text: "GET / HTTP/1.1\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"two hosts":               {text: "GET / HTTP/1.1\r\n" + host + host + "\r\n", want: []parsedMessage{{Err: 400}}},
		"space before a colon":    {text: "GET / HTTP/1.1\r\nHost : a\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"folded field":            {text: "GET / HTTP/1.1\r\n" + host + " b: c\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"bare newline":            {text: "GET / HTTP/1.1\nHost: a\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"control character":       {text: "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"other version":           {text: "GET / HTTP/2.0\r\n" + host + "\r\n", want: []parsedMessage{{Err: 400}}},
		"long head":               {text: "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHeadBytes), want: []parsedMessage{{Err: 431}}},
		"many fields":             {text: "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", want: []parsedMessage{{Err: 431}}},
		"long response":           {text: "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long, answers: true, want: []parsedMessage{{Line: "xx", Body: long}}},
		"response over the limit": {text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", answers: true, want: []parsedMessage{{Err: 413}}},
		"long body":               {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 65537\r\n\r\n", want: []parsedMessage{{Err: 413}}},
		"long chunks": {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + long,
			want: []parsedMessage{{Err: 413}}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, n := range []int{1, 2, 7, len(tc.text)} {
				p := NewRequestParser()
				if tc.answers {
					p = NewResponseParser()
				}
				if diff := cmp.Diff(tc.want, parseAll(p, tc.text, n)); diff != "" {
					t.Errorf("in pieces of %d (-want +got):\n%s", n, diff)
				}
			}
		})
	}
}

// TestInvalidInputIsRejectedEarly covers input that never completes a message, and a response
// that ends with its connection and so can't be told from a truncated one.
func TestInvalidInputIsRejectedEarly(t *testing.T) {
	for name, tc := range map[string]struct {
		text    string
		answers bool
	}{
		"random bytes as a response":   {"\x8a\x01xyz", true},
		"response of another protocol": {"SSH-2", true},
		"malformed status line":        {"HTTP/1.1 2x0 OK\r\n", true},
		"response without a length":    {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true},
		"random bytes as a request":    {"\x16\x03\x01", false},
		"malformed request line":       {"GET\r\n", false},
		"malformed field":              {"GET / HTTP/1.1\r\nHost\r\n", false},
		"control character in a field": {"GET / HTTP/1.1\r\nHost: \x00", false},
		"empty lines without end":      {"\r\n\r\n\r\n", false},
		"trailers without end": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			strings.Repeat("A: b\r\n", 1000), false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewRequestParser()
			if tc.answers {
				p = NewResponseParser()
			}
			if all := parseAll(p, tc.text, 1); len(all) != 1 || all[0].Err != 400 {
				t.Fatalf("parsed as %+v, want one error with status 400", all)
			}
		})
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, n int) {
		n = max(n%64, 1)
		if diff := cmp.Diff(parseAll(NewRequestParser(), string(text), len(text)+1), parseAll(NewRequestParser(), string(text), n)); diff != "" {
			t.Fatalf("result differs in pieces of %d (-whole +pieces):\n%s", n, diff)
		}
	})
}

// TestLargeBodyIsStreamed checks, for several piece sizes, that the buffered part and the
// pieces passed to OnBody make up the body, and that the bytes after the message are not used.
func TestLargeBodyIsStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", (MaxBodyBytes+1000)/16)
	chunks := func(size int) string {
		var b strings.Builder
		for rest := body; len(rest) > 0; {
			n := min(size, len(rest))
			fmt.Fprintf(&b, "%x ;name=value\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		return b.String() + "0\r\nX-Trailer: " + strings.Repeat("t", 900) + "\r\n\r\n"
	}
	request := "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, tc := range map[string]struct {
		parser         *Parser
		text           string
		closeDelimited bool // the body ends when the connection closes
	}{
		"request with Content-Length":            {NewRequestParser(), request + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body, false},
		"chunked request":                        {NewRequestParser(), request + "Transfer-Encoding: chunked\r\n\r\n" + chunks(7777), false},
		"response with Content-Length":           {NewResponseParser(), fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)) + body, false},
		"chunked response":                       {NewResponseParser(), "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(70000), false},
		"response that ends with the connection": {NewResponseParser(), "HTTP/1.1 200 OK\r\n\r\n" + body, true},
	} {
		for _, cut := range []int{1, 2, 3, 1000, 1 << 20} {
			t.Run(fmt.Sprintf("%s, cut at %d", name, cut), func(t *testing.T) {
				parser, text := tc.parser, tc.text
				if !tc.closeDelimited {
					text += "behind"
				}
				parser.StreamBody = true
				parser.Reset()
				got, done := []byte{}, false
				for !done && len(text) > 0 {
					n, whole, err := parser.Feed([]byte(text[:min(cut, len(text))]))
					if err != nil {
						t.Fatal(err)
					}
					if text, done = text[n:], whole; parser.MustStream() {
						got = append(got, parser.TakeBody()...)
						parser.OnBody = func(b []byte) { got = append(got, b...) }
					}
				}
				if tc.closeDelimited {
					done = parser.ConnectionEnded()
				}
				if string(got) != body || !done || !tc.closeDelimited && text != "behind" {
					t.Fatalf("got %d of %d body bytes, complete %v, unused input %q", len(got), len(body), done, text)
				}
			})
		}
	}
}

// TestSmallBodyIsBuffered checks that a body within the limit is buffered also if streaming is
// allowed.
func TestSmallBodyIsBuffered(t *testing.T) {
	for _, size := range []int{1, MaxBodyBytes - 1, MaxBodyBytes} {
		parser := NewRequestParser()
		parser.StreamBody = true
		body := strings.Repeat("x", size)
		_, done, err := parser.Feed([]byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, body)))
		if err != nil || !done || parser.MustStream() || string(parser.Message().Body) != body {
			t.Errorf("%d bytes: complete %v, must stream %v, error %v", size, done, parser.MustStream(), err)
		}
	}
}

// TestLimitsAreReadAtUse checks that configured limits apply to parsers in use and may exceed
// the defaults.
func TestLimitsAreReadAtUse(t *testing.T) {
	limits := &Limits{HeadBytes: 60, BufferedBodyBytes: 10, StreamedBodyBytes: MaxStreamedBytes + 100}
	parser := NewRequestParser()
	parser.StreamBody, parser.Limits = true, limits
	text := "POST / HTTP/1.1\r\n" + host + "Content-Length: %d\r\n\r\n"
	head := func(n int) error {
		parser.Reset()
		_, _, err := parser.Feed(fmt.Appendf(nil, text, n))
		return err
	}
	status := func(err error) int {
		var fault *Error
		errors.As(err, &fault)
		if fault == nil {
			return 0
		}
		return fault.Status
	}
	if err := head(MaxStreamedBytes + 100); err != nil {
		t.Error(err)
	}
	if got := status(head(MaxStreamedBytes + 101)); got != 413 {
		t.Errorf("status %d for a body over the limit, want 413", got)
	}
	limits.StreamedBodyBytes = 20
	if got := status(head(21)); got != 413 {
		t.Errorf("status %d for a body over the new limit, want 413", got)
	}
	if err := head(20); err != nil {
		t.Error(err)
	}
	if n, _, err := parser.Feed([]byte(strings.Repeat("x", 20))); n != 10 || !parser.MustStream() || err != nil {
		t.Errorf("%d bytes buffered, error %v; want 10 bytes and a full buffer", n, err)
	}
	limits.HeadBytes = 40
	if got := status(head(1)); got != 431 {
		t.Errorf("status %d for a head over the limit, want 431", got)
	}
}
