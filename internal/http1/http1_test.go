package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// got is what a message says, in plain strings.
type parsedMessage struct {
	Line, Body string
	Close      bool
	Err        int
}

// feed gives text to a parser in pieces of n bytes, and reads every message.
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
	long := strings.Repeat("x", MaxBody+1)
	for name, tc := range map[string]struct {
		text    string
		answers bool
		want    []parsedMessage
	}{
		"two in a row": {text: "GET /a HTTP/1.1\r\n" + host + "\r\nPOST /b HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nxyz",
			want: []parsedMessage{{Line: "GET /a"}, {Line: "POST /b", Body: "xyz"}}},
		"chunked": {text: "POST /b HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3;e=1\r\nxyz\r\n0\r\nT: 1\r\n\r\n",
			want: []parsedMessage{{Line: "POST /b", Body: "xyz"}}},
		"closing":              {text: "GET / HTTP/1.1\r\n" + host + "Connection: x, close\r\n\r\n", want: []parsedMessage{{Line: "GET /", Close: true}}},
		"of HTTP/1.0":          {text: "GET / HTTP/1.0\r\n\r\n", want: []parsedMessage{{Line: "GET /", Close: true}}},
		"interim answer":       {text: "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny", answers: true, want: []parsedMessage{{Line: "xx", Body: "y"}}},
		"answer without body":  {text: "HTTP/1.1 204 N\r\n\r\n", answers: true, want: []parsedMessage{{Line: "xx"}}},
		"another protocol":     {text: "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\n", answers: true, want: []parsedMessage{{Line: "x", Close: true}}},
		"length and chunks":    {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"two lengths":          {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"signed length":        {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"signed chunk":         {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\n", want: []parsedMessage{{Err: 400}}},
		"other coding":         {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"no host":              {text: "GET / HTTP/1.1\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"two hosts":            {text: "GET / HTTP/1.1\r\n" + host + host + "\r\n", want: []parsedMessage{{Err: 400}}},
		"space before a colon": {text: "GET / HTTP/1.1\r\nHost : a\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"folded field":         {text: "GET / HTTP/1.1\r\n" + host + " b: c\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"bare newline":         {text: "GET / HTTP/1.1\nHost: a\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"control character":    {text: "GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", want: []parsedMessage{{Err: 400}}},
		"other version":        {text: "GET / HTTP/2.0\r\n" + host + "\r\n", want: []parsedMessage{{Err: 400}}},
		"long head":            {text: "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", MaxHead), want: []parsedMessage{{Err: 431}}},
		"many fields":          {text: "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", MaxFields+1) + "\r\n", want: []parsedMessage{{Err: 431}}},
		"long answer":          {text: "HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + long, answers: true, want: []parsedMessage{{Line: "xx", Body: long}}},
		"endless answer":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", answers: true, want: []parsedMessage{{Err: 413}}},
		"long body":            {text: "POST / HTTP/1.1\r\n" + host + "Content-Length: 65537\r\n\r\n", want: []parsedMessage{{Err: 413}}},
		"long chunks": {text: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + long,
			want: []parsedMessage{{Err: 413}}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, n := range []int{1, 2, 7, len(tc.text)} {
				p := Requests()
				if tc.answers {
					p = Answers()
				}
				if diff := cmp.Diff(tc.want, parseAll(p, tc.text, n)); diff != "" {
					t.Errorf("in pieces of %d (-want +got):\n%s", n, diff)
				}
			}
		})
	}
}

// TestInvalidInputIsRejectedEarly: who sends noise may never end
// it, and an answer that only its connection's end would end can't be told from one
// cut short.
func TestInvalidInputIsRejectedEarly(t *testing.T) {
	for name, tc := range map[string]struct {
		text    string
		answers bool
	}{
		"noise for an answer":       {"\x8a\x01xyz", true},
		"another protocol's answer": {"SSH-2", true},
		"a broken status line":      {"HTTP/1.1 2x0 OK\r\n", true},
		"an answer without length":  {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", true},
		"noise for a request":       {"\x16\x03\x01", false},
		"a broken request line":     {"GET\r\n", false},
		"a broken field":            {"GET / HTTP/1.1\r\nHost\r\n", false},
		"noise in a field":          {"GET / HTTP/1.1\r\nHost: \x00", false},
		"empty lines without end":   {"\r\n\r\n\r\n", false},
		"trailers without end": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" +
			strings.Repeat("A: b\r\n", 1000), false},
	} {
		t.Run(name, func(t *testing.T) {
			p := Requests()
			if tc.answers {
				p = Answers()
			}
			if all := parseAll(p, tc.text, 1); len(all) != 1 || all[0].Err != 400 {
				t.Fatalf("read as %+v", all)
			}
		})
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, n int) {
		n = max(n%64, 1)
		if diff := cmp.Diff(parseAll(Requests(), string(text), len(text)+1), parseAll(Requests(), string(text), n)); diff != "" {
			t.Fatalf("pieces of %d read otherwise:\n%s", n, diff)
		}
	})
}

// TestLargeBodyIsStreamed, wherever the pieces that come are cut: what is held and
// what goes to Piece is the body, and what stands behind it is left.
func TestLargeBodyIsStreamed(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", (MaxBody+1000)/16)
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
		parser *Parser
		text   string
		rest   bool // it ends with its connection
	}{
		"a request of a length":  {Requests(), request + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body, false},
		"a request in chunks":    {Requests(), request + "Transfer-Encoding: chunked\r\n\r\n" + chunks(7777), false},
		"an answer of a length":  {Answers(), fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)) + body, false},
		"an answer in chunks":    {Answers(), "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(70000), false},
		"an answer that ends it": {Answers(), "HTTP/1.1 200 OK\r\n\r\n" + body, true},
	} {
		for _, cut := range []int{1, 2, 3, 1000, 1 << 20} {
			t.Run(fmt.Sprintf("%s, cut at %d", name, cut), func(t *testing.T) {
				parser, text := tc.parser, tc.text
				if !tc.rest {
					text += "behind"
				}
				parser.Flows = true
				parser.Reset()
				got, done := []byte{}, false
				for !done && len(text) > 0 {
					n, whole, err := parser.Feed([]byte(text[:min(cut, len(text))]))
					if err != nil {
						t.Fatal(err)
					}
					if text, done = text[n:], whole; parser.Full() {
						got = append(got, parser.Held()...)
						parser.Piece = func(b []byte) { got = append(got, b...) }
					}
				}
				if tc.rest {
					done = parser.End()
				}
				if string(got) != body || !done || !tc.rest && text != "behind" {
					t.Fatalf("%d bytes of %d, whole %v, left %q", len(got), len(body), done, text)
				}
			})
		}
	}
}

// TestSmallBodyIsBuffered also where it might flow.
func TestSmallBodyIsBuffered(t *testing.T) {
	for _, size := range []int{1, MaxBody - 1, MaxBody} {
		p := Requests()
		p.Flows = true
		body := strings.Repeat("x", size)
		_, done, err := p.Feed([]byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, body)))
		if err != nil || !done || p.Full() || string(p.Message().Body) != body {
			t.Errorf("%d bytes: whole %v, full %v, %v", size, done, p.Full(), err)
		}
	}
}

// TestLimitsAreReadAtUse: an operator's limits hold for parsers that are at work, and may
// exceed the constants.
func TestLimitsAreReadAtUse(t *testing.T) {
	limits := &Limits{Head: 60, Body: 10, Large: MaxLarge + 100}
	parser := Requests()
	parser.Flows, parser.Limits = true, limits
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
	if err := head(MaxLarge + 100); err != nil {
		t.Error(err)
	}
	if got := status(head(MaxLarge + 101)); got != 413 {
		t.Errorf("%d for a body past the limit", got)
	}
	limits.Large = 20
	if got := status(head(21)); got != 413 {
		t.Errorf("%d for a body past the new limit", got)
	}
	if err := head(20); err != nil {
		t.Error(err)
	}
	if n, _, err := parser.Feed([]byte(strings.Repeat("x", 20))); n != 10 || !parser.Full() || err != nil {
		t.Errorf("%d bytes are held, %v", n, err)
	}
	limits.Head = 40
	if got := status(head(1)); got != 431 {
		t.Errorf("%d for a head past the limit", got)
	}
}
