package batch

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"foxwood/internal/batch/batchpb"
)

// TestCodecMatchesProtobuf: what the codec writes by hand is what the
// generated code reads, and the other way round.
func TestCodecMatchesProtobuf(t *testing.T) {
	message := AppendItem(nil, 7, []byte("GET / HTTP/1.1\r\n\r\n"))
	message = AppendItem(message, 300, nil)
	message = AppendPing(AppendGiveUp(AppendGiveUp(message, 5), 6), 9)
	var up batchpb.Up
	if err := protodelim.UnmarshalFrom(bytes.NewReader(AppendMessage(nil, message)), &up); err != nil {
		t.Fatal(err)
	}
	want := &batchpb.Up{Items: []*batchpb.Item{{Id: 7, Request: []byte("GET / HTTP/1.1\r\n\r\n")}, {Id: 300}}, GiveUp: []uint64{5, 6}, Ping: 9}
	if !proto.Equal(want, &up) {
		t.Errorf("%v, want %v", &up, want)
	}

	var text bytes.Buffer
	for _, d := range []*batchpb.Down{
		{Done: []*batchpb.Done{{Id: 7, Answer: []byte("a")}, {Id: 300, NeverRan: true}}},
		{Pong: 9, Leaving: true, Last: 300},
	} {
		if _, err := protodelim.MarshalTo(&text, d); err != nil {
			t.Fatal(err)
		}
	}
	var got []Down
	var reader Reader
	for _, b := range text.Bytes() { // a byte at a time
		if err := reader.Feed([]byte{b}, func(d *Down) error {
			c := *d
			c.Done = append([]Done(nil), d.Done...)
			for i := range c.Done {
				c.Done[i].Answer = bytes.Clone(c.Done[i].Answer)
			}
			got = append(got, c)
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]Down{
		{Done: []Done{{ID: 7, Answer: []byte("a")}, {ID: 300, NeverRan: true}}},
		{Pong: 9, Leaving: true, Last: 300},
	}, got); diff != "" || reader.Started() {
		t.Errorf("started %v; %s", reader.Started(), diff)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"a length past the bound": {"\xff\xff\xff\x0f", ErrLong},
		"a length without an end": {strings.Repeat("\xff", 11), ErrMalformed},
		"a cut field":             {"\x02\x0a\x05", ErrMalformed},
		"a tag of nothing":        {"\x01\x00", ErrMalformed},
		"a group":                 {"\x01\x0b", ErrMalformed},
		"a cut item":              {"\x04\x0a\x02\x12\x09", ErrMalformed},
		"an unknown field":        {"\x02\x78\x01", nil},
		"nothing":                 {"\x00", nil},
	} {
		var r Reader
		if err := r.Feed([]byte(tc.text), func(*Down) error { return nil }); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
	}
}

// FuzzFeed: a reader must not panic or hold more than a message, and must read the same
// whatever the pieces.
func FuzzFeed(f *testing.F) {
	var text bytes.Buffer
	_, _ = protodelim.MarshalTo(&text, &batchpb.Down{Done: []*batchpb.Done{{Id: 1, Answer: []byte("HTTP/1.1 200 OK\r\n\r\n")}}})
	_, _ = protodelim.MarshalTo(&text, &batchpb.Down{Leaving: true, Last: 3})
	f.Add(text.Bytes(), uint8(3))
	f.Add([]byte("\x02\x0a\x05\xff"), uint8(0))
	f.Fuzz(func(t *testing.T, b []byte, cut uint8) {
		read := func(piece int) (n int, err error) {
			var r Reader
			for rest := b; len(rest) > 0 && err == nil; {
				k := min(piece, len(rest))
				err = r.Feed(rest[:k], func(d *Down) error { n += 1 + len(d.Done); return nil })
				rest = rest[k:]
				if len(r.buffered) > MessageMost+16 {
					t.Fatalf("holds %d bytes", len(r.buffered))
				}
			}
			return n, err
		}
		n, err := read(int(cut) + 1)
		m, other := read(len(b) + 1)
		if n != m || (err == nil) != (other == nil) {
			t.Fatalf("in pieces %d, %v; at once %d, %v", n, err, m, other)
		}
	})
}
