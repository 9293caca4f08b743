package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// frame builds a frame of raw records.
func frame(records int, body ...byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(12+len(body)))
	b = binary.BigEndian.AppendUint32(b, uint32(records))
	b = binary.BigEndian.AppendUint64(b, 1000)
	return append(b, body...)
}

// bornRecord returns an ON record of instance 1 and a BORN record with a settings text.
func bornRecord(text string) []byte {
	b := append([]byte{3, 0, 1, 0}, make([]byte, 8)...)
	b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
	return append(b, text...)
}

func TestEmptyFrameGetsEmptyReply(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(frame(0)), &out); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), []byte{0, 0, 0, 0}) {
		t.Fatalf("reply is %x, want a frame of length 0", out.Bytes())
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	for name, in := range map[string][]byte{
		"truncated frame":             frame(0)[:9],
		"body missing":                frame(0)[:4],
		"unknown code":                frame(2, 3, 0, 1, 99),
		"no instance":                 frame(1, 7, 0, 0, 0, 0, 0, 0, 0, 1),
		"truncated record":            frame(2, 3, 0, 1, 7, 0, 0),
		"bytes after the last record": frame(1, 3, 0, 1, 7),
		"malformed settings":          frame(2, bornRecord("{")...),
	} {
		var out bytes.Buffer
		if err := serve(bytes.NewReader(in), &out); err == nil || strings.TrimSpace(err.Error()) == "" {
			t.Errorf("%s: error %v, want one with a message", name, err)
		}
	}
}

func TestBornStartsAndHaltStopsAnInstance(t *testing.T) {
	var out bytes.Buffer
	in := append(frame(2, bornRecord("{}")...), frame(3, 3, 0, 1, 5, 7)...)
	in = append(in[:len(in)-1], 7, 0, 0, 0, 0, 0, 0, 0, 0)
	binary.BigEndian.PutUint32(in[len(frame(2, bornRecord("{}")...)):], uint32(12+13))
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	first := binary.BigEndian.Uint32(out.Bytes())
	if first == 0 {
		t.Fatal("the instance took no action at its start, want a timer")
	}
	if rest := out.Bytes()[4+first:]; !bytes.Equal(rest, []byte{0, 0, 0, 0}) {
		t.Fatalf("second reply is %x, want no action of a stopped instance", rest)
	}
}
