package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"foxwood/policy"
)

func decodeHex(t *testing.T, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readBatch(t *testing.T, s string) *EventFrame {
	t.Helper()
	frame, err := ReadFrame(bytes.NewReader(decodeHex(t, s)), nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := NewEventFrame(frame)
	if err != nil {
		t.Fatal(err)
	}
	return &b
}

// twoInstances is a frame with events of the instances 3 and 5.
const twoInstances = `00000042 00000005 0000000000805c5a 03 0003
	0a 5d3a91c4 0000 0000 91f03b7c55d20a64 0003a980 40000000 40400000 3f800000 01
	07 000000000000004d 03 0005 04 0e6f2b19`

func TestReadFrameOfTwoInstances(t *testing.T) {
	b := readBatch(t, twoInstances)
	if b.Records != 5 || b.Time != 0x805c5a {
		t.Fatalf("%d records at %d, want 5 at %d", b.Records, b.Time, 0x805c5a)
	}
	if b.U8() != CodeOn || b.U16() != 3 || b.U8() != CodeReq {
		t.Fatal("the first records are not ON 3 and REQ")
	}
	want := policy.Request{ID: 0x5d3a91c4, Customer: 0x91f03b7c55d20a64, TimeLeft: 240000, Units: 2, GatewayCount: 3}
	if r := b.Request(); r != want {
		t.Fatalf("read %+v, want %+v", r, want)
	}
	if b.U8() != CodeElapsed || b.U64() != 77 || b.U8() != CodeOn || b.U16() != 5 {
		t.Fatal("the next records are not ELAPSED 77 and ON 5")
	}
	if b.U8() != CodeGone || b.U32() != 0x0e6f2b19 || b.Remaining() != 0 || b.Err() != nil {
		t.Fatal("the last record is not CLIENT_GONE")
	}
}

func TestReadServerListOutcomeAndCounterResult(t *testing.T) {
	b := readBatch(t, `00000073 00000003 0000000000805c5a
		08 0000000000000029 00 00000002
		3f800000 00 0000 01 00 0000000000000000 0a124a07 2bc3
		3fc00000 00 0000 01 00 00000000005d1420 0a9011f2 2bec
		0b 5d3a91c4 00004844 01 0001 0003 0056 00 0a124a07 2bc3 00
		02 000000000089f690 00000866 0001 42180000`)
	b.U8()
	kind, es := b.Sync()
	if kind != policy.CachedList || len(es) != 2 || es[1].Weight != 1.5 || es[1].ReadyAt != 0x5d1420 ||
		es[0].Server != 0x0a124a072bc3 || es[0].State != policy.Ready {
		t.Fatalf("SYNC record read as kind %v, entries %+v", kind, es)
	}
	b.U8()
	o := b.Outcome()
	if o.ID != 0x5d3a91c4 || o.Latency != 18500 || !o.Terminal || o.Status != policy.OK || o.ActualUnits != 3 ||
		o.QuotaUsed != 86 || o.Server != es[0].Server || o.LoadReport != nil {
		t.Fatalf("DONE record read as %+v", o)
	}
	b.U8()
	name, delay, st, total := b.Added()
	if name != 0x89f690 || delay != 2150 || st != policy.OK || total != 38 || b.Remaining() != 0 {
		t.Fatalf("ADDED record read as name %x, delay %d, status %d, total %v", name, delay, st, total)
	}
}

func TestWriteReplyOfTwoInstances(t *testing.T) {
	var w ActionFrame
	w.Reset()
	w.SelectInstance(3)
	w.Send(0x5d3a91c4, 0x0a124a072bc3, 80000)
	w.Timer(77, 500000)
	w.SelectInstance(5)
	w.Log("two servers unknown")
	want := decodeHex(t, `00000036 0d 0003 00 5d3a91c4 0a124a07 2bc3 00013880 04 000000000000004d 0007a120
		0d 0005 08 0011 74776f2073657276657273206b6e6f776e`)
	got := w.Bytes()
	text := "two servers unknown"
	want = append(want[:len(want)-19], append([]byte{0, byte(len(text))}, text...)...)
	want[3] = byte(len(want) - 4)
	if !bytes.Equal(got, want) {
		t.Fatalf("wrote\n%x, want\n%x", got, want)
	}
}

func TestWriteEachAction(t *testing.T) {
	for _, c := range []struct {
		write func(*ActionFrame)
		want  string
	}{
		{func(w *ActionFrame) { w.Refuse(0x0e6f2b19, 250000) }, "01 0e6f2b19 0003d090"},
		{func(w *ActionFrame) { w.Fail(0x0e6f2b19) }, "02 0e6f2b19"},
		{func(w *ActionFrame) { w.Cancel(0x5d3a91c4, 0) }, "03 5d3a91c4 00"},
		{func(w *ActionFrame) { w.Count(0x89f690, 4, 3000000) }, "0c 000000000089f690 40800000 002dc6c0"},
		{func(w *ActionFrame) { w.Die("index out of range") }, "09 0012 696e646578206f7574206f662072616e6765"},
	} {
		var w ActionFrame
		w.Reset()
		w.SelectInstance(3)
		c.write(&w)
		if got, want := w.Bytes()[7:], decodeHex(t, c.want); !bytes.Equal(got, want) {
			t.Errorf("wrote %x, want %x", got, want)
		}
	}
}

func TestReadFrameRejectsTruncatedFrames(t *testing.T) {
	whole := decodeHex(t, twoInstances)
	for n := 1; n < len(whole); n++ {
		if _, err := ReadFrame(bytes.NewReader(whole[:n]), nil); err == nil || err == io.EOF {
			t.Fatalf("the first %d bytes of a frame: error %v, want one other than io.EOF", n, err)
		}
	}
	if _, err := ReadFrame(bytes.NewReader(nil), nil); err != io.EOF {
		t.Fatalf("empty input: error %v, want io.EOF", err)
	}
	if _, err := ReadFrame(bytes.NewReader([]byte{0, 0, 0, 3, 1, 2, 3}), nil); err == nil {
		t.Fatal("a frame shorter than its header was accepted")
	}
}

// FuzzBatch checks that malformed records neither cause a panic nor are read past the end.
func FuzzBatch(f *testing.F) {
	whole, _ := hex.DecodeString(strings.Join(strings.Fields(twoInstances), ""))
	f.Add(whole)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data), nil)
		if err != nil {
			return
		}
		b, err := NewEventFrame(frame)
		if err != nil {
			t.Fatal("ReadFrame accepted a frame shorter than its header")
		}
		for i := 0; b.Remaining() > 0 && i < 1000; i++ {
			switch b.U8() {
			case CodeSync:
				b.Sync()
			case CodeBorn:
				b.Born()
			case CodeDone:
				b.Outcome()
			case CodeNote:
				b.Note()
			case CodeProbeDone:
				b.ProbeDone()
			default:
				b.Request()
			}
		}
		if b.Remaining() < 0 {
			t.Fatal("read past the end")
		}
	})
}
