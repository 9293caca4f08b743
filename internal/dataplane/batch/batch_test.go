package batch

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"foxwood/internal/dataplane/batch/batchpb"
)

// TestCodecMatchesProtobuf checks that the handwritten codec and the generated code read each
// other's messages.
func TestCodecMatchesProtobuf(t *testing.T) {
	message := AppendItem(nil, 7, []byte("GET / HTTP/1.1\r\n\r\n"))
	message = AppendItem(message, 300, nil)
	message = AppendPing(AppendCancel(AppendCancel(message, 5), 6), 9)
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
	var got []WorkerMessage
	var reader Reader
	for _, b := range text.Bytes() { // one byte at a time
		if err := reader.Feed([]byte{b}, func(d *WorkerMessage) error {
			c := *d
			c.Results = append([]ItemResult(nil), d.Results...)
			for i := range c.Results {
				c.Results[i].Response = bytes.Clone(c.Results[i].Response)
			}
			got = append(got, c)
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]WorkerMessage{
		{Results: []ItemResult{{ID: 7, Response: []byte("a")}, {ID: 300, NeverRan: true}}},
		{Pong: 9, GoingAway: true, LastAccepted: 300},
	}, got); diff != "" || reader.Started() {
		t.Errorf("message incomplete %v; messages (-want +got): %s", reader.Started(), diff)
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want error
	}{
		"length over the limit": {"\xff\xff\xff\x0f", ErrMessageTooLong},
		"unterminated length":   {strings.Repeat("\xff", 11), ErrMalformed},
		"truncated field":       {"\x02\x0a\x05", ErrMalformed},
		"field number 0":        {"\x01\x00", ErrMalformed},
		"group":                 {"\x01\x0b", ErrMalformed},
		"truncated item":        {"\x04\x0a\x02\x12\x09", ErrMalformed},
		"unknown field":         {"\x02\x78\x01", nil},
		"empty message":         {"\x00", nil},
	} {
		var r Reader
		if err := r.Feed([]byte(tc.text), func(*WorkerMessage) error { return nil }); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
	}
}

// FuzzFeed checks that a reader does not panic or buffer more than a message, and that the
// result does not depend on the piece size.
func FuzzFeed(f *testing.F) {
	var text bytes.Buffer
	_, _ = protodelim.MarshalTo(&text, &batchpb.Down{Done: []*batchpb.Done{{Id: 1, Answer: []byte("HTTP/1.1 200 OK\r\n\r\n")}}})
	_, _ = protodelim.MarshalTo(&text, &batchpb.Down{Leaving: true, Last: 3})
	f.Add(text.Bytes(), uint8(3))
	f.Add([]byte("\x02\x0a\x05\xff"), uint8(0))
	f.Fuzz(func(t *testing.T, b []byte, cut uint8) {
		read := func(piece int) (count int, err error) {
			var reader Reader
			for rest := b; len(rest) > 0 && err == nil; {
				size := min(piece, len(rest))
				err = reader.Feed(rest[:size], func(d *WorkerMessage) error { count += 1 + len(d.Results); return nil })
				rest = rest[size:]
				if len(reader.buffered) > MaxMessageBytes+16 {
					t.Fatalf("buffered %d bytes", len(reader.buffered))
				}
			}
			return count, err
		}
		count, err := read(int(cut) + 1)
		countWhole, errWhole := read(len(b) + 1)
		if count != countWhole || (err == nil) != (errWhole == nil) {
			t.Fatalf("%d messages and results in pieces, error %v; %d at once, error %v", count, err, countWhole, errWhole)
		}
	})
}
