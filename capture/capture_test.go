package capture

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"foxwood/capture/capturepb"
	_ "foxwood/internal/fixedseed"
	"foxwood/policy"
)

// testKey returns the key of a secret whose bytes all have one value.
func testKey(t testing.TB, fill byte) Key {
	t.Helper()
	k, err := NewKey(bytes.Repeat([]byte{fill}, secretSize))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// writeCapture writes a capture of n requests and their refusals, and returns its files.
func writeCapture(t testing.TB, o WriterOptions, n int) []string {
	t.Helper()
	if o.Folder == "" {
		o.Folder = t.TempDir()
	}
	o.Name, o.WaitForDisk = "n0", true
	w, err := NewWriter(o)
	if err != nil {
		t.Fatal(err)
	}
	w.Started(1e6, policy.Settings{GatewayCount: 2, Plans: []policy.Plan{{Rate: 1.4}}}, 0x1f)
	for i := range n {
		w.RequestReceived(1e6+policy.Micros(i), policy.Request{ID: uint32(i), Customer: 0xb4d65521, Units: 2, TimeLeft: 1e6})
		w.Refuse(uint32(i), 5000)
	}
	w.Close()
	files, err := filepath.Glob(filepath.Join(o.Folder, "*"+segmentSuffix))
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	return files
}

// readCapture reads a segment up to the first error. It returns the number of records, and a nil
// error if the segment has its end block.
func readCapture(text []byte, key Key) (n int, err error) {
	r, err := NewReader(bytes.NewReader(text), &key, nil)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	for {
		if _, _, err := r.Next(); err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return r.Records(), err
		}
	}
}

func TestReaderReturnsWrittenRecords(t *testing.T) {
	key := testKey(t, 7)
	files := writeCapture(t, WriterOptions{Key: key, RunID: 9}, 3)
	f, err := os.Open(files[0])
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := NewReader(f, &key, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	d := NewDecoder(&key)
	var got []string
	for {
		rec, at, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, fmt.Sprintf("%d %s %d %x", at, rec.GetKind(), rec.GetId(), d.Request(rec).Customer))
		if rec.GetKind() == capturepb.Kind_BEGAN {
			s, err := d.Settings(rec)
			if err != nil || s.Plans[0].Rate != 1.4 || rec.GetSeed() != 0x1f {
				t.Errorf("settings %v, seed %x, error %v; want a rate of 1.4 and seed 1f", s, rec.GetSeed(), err)
			}
		}
		if rec.GetKind() == capturepb.Kind_REQUESTED && rec.GetCustomer() == 0xb4d65521 {
			t.Error("a customer id was stored unencrypted")
		}
	}
	shown := fmt.Sprintf("%x", key.decryptID(0, customerTweak)) // the decrypted customer id of records that have none
	want := []string{"1000000 BEGAN 0 " + shown}
	for i := range 3 {
		want = append(want, fmt.Sprintf("%d REQUESTED %d b4d65521", 1000000+i, i), fmt.Sprintf("%d REFUSE %d %s", 1000000+i, i, shown))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestStateRecordsEncryptIDs checks that customer ids and counter names are also encrypted
// in the records that hold a state, CHECKPOINT and RECOVERED, and that a Decoder restores them.
func TestStateRecordsEncryptIDs(t *testing.T) {
	key := testKey(t, 7)
	folder := t.TempDir()
	w, err := NewWriter(WriterOptions{Folder: folder, Name: "n0", RunID: 1, Key: key, WaitForDisk: true, CheckpointEvery: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	const customer, name = 3033945377, 8117723306643105
	state := policy.Snapshot{Version: policy.SnapshotVersion, Customers: []policy.CustomerRecord{{Key: customer}}, PendingCalls: []policy.PendingCallRecord{{Name: name}}}
	w.Started(1e6, policy.Settings{}, 1)
	w.StateRecovered(1e6, state, true)
	for at := range policy.Micros(3) {
		w.OfferCheckpoint(1e6+at*2e6, func() policy.Snapshot { return state })
	}
	w.Close()
	if state.Customers[0].Key != customer || state.PendingCalls[0].Name != name {
		t.Error("the recorder changed the state that it was given")
	}
	segments, err := FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	set := NewMultiReader(segments, &key)
	defer set.Close()
	d, states := NewDecoder(&key), 0
	for {
		r, _, err := set.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if k := r.GetKind(); k != capturepb.Kind_CHECKPOINT && k != capturepb.Kind_RECOVERED {
			continue
		}
		states++
		for _, id := range []string{fmt.Sprint(customer), fmt.Sprint(name)} {
			if strings.Contains(string(r.GetSettings()), id) {
				t.Errorf("%s: id %s was stored unencrypted", r.GetKind(), id)
			}
		}
		got, err := d.State(r)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(state, got); diff != "" {
			t.Errorf("%s: %s", r.GetKind(), diff)
		}
	}
	if states < 3 {
		t.Errorf("%d records with a state, want at least 3", states)
	}
}

// TestEveryChangedByteAndTruncationIsDetected tries every byte and every shorter length of a
// small capture. Records before the fault may be read, but reading must end with an error.
func TestEveryChangedByteAndTruncationIsDetected(t *testing.T) {
	key := testKey(t, 7)
	text, err := os.ReadFile(writeCapture(t, WriterOptions{Key: key}, 4)[0])
	if err != nil {
		t.Fatal(err)
	}
	if n, err := readCapture(text, key); err != nil || n != 9 {
		t.Fatalf("%d records, error %v; want 9 records", n, err)
	}
	for i := range text {
		for _, by := range []byte{1, 0x80, 0xff} {
			bad := bytes.Clone(text)
			bad[i] ^= by
			if n, err := readCapture(bad, key); err == nil {
				t.Fatalf("byte %d of %d changed by %02x: %d records and no error", i, len(text), by, n)
			}
		}
	}
	for i := range text {
		if n, err := readCapture(text[:i], key); err == nil {
			t.Fatalf("truncated to %d of %d bytes: %d records and no error", i, len(text), n)
		}
	}
	if _, err := readCapture(append(bytes.Clone(text), 0), key); !errors.Is(err, ErrAltered) {
		t.Errorf("one byte appended: error %v, want %v", err, ErrAltered)
	}
}

// TestReaderDistinguishesFaults checks that another key, another version, damage, truncation
// and a change with a correct checksum give different errors.
func TestReaderDistinguishesFaults(t *testing.T) {
	key := testKey(t, 7)
	text, err := os.ReadFile(writeCapture(t, WriterOptions{Key: key}, 4)[0])
	if err != nil {
		t.Fatal(err)
	}
	at := segmentHeaderSize + macSize
	change := func(i int, by byte) []byte {
		bad := bytes.Clone(text)
		bad[i] ^= by
		return bad
	}
	forged := func() []byte { // with a correct checksum, but a MAC of another key
		var b blockHeader
		b.parse(text[at : at+blockHeaderSize])
		payload := text[at+blockHeaderSize : at+blockHeaderSize+int(b.payloadSize)]
		other := testKey(t, 8)
		out, _ := b.seal(bytes.Clone(text[:at]), &other, text[segmentHeaderSize:at], payload)
		return append(out, text[at+blockHeaderSize+int(b.payloadSize):]...)
	}
	for name, c := range map[string]struct {
		text []byte
		key  Key
		want error
	}{
		"another key":     {text, testKey(t, 8), ErrKey},
		"no key":          {text, Key{}, ErrKey},
		"a later version": {change(len(magic)+1, 4), key, ErrVersion},
		"another file":    {[]byte("PK\x03\x04 and so on, for as long as a head is at the least, which is 60 bytes"), key, ErrNotCapture},
		"damage":          {change(at+blockHeaderSize+3, 1), key, ErrDamaged},
		"a forged block":  {forged(), key, ErrAltered},
		"no end":          {text[:len(text)-blockHeaderSize], key, ErrTruncated},
		"truncated end":   {text[:len(text)-5], key, ErrTruncated},
	} {
		if _, err := readCapture(c.text, c.key); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		if strings.Contains(fmt.Sprint(c.want), "\n") {
			t.Errorf("%s: the error message has more than one line", name)
		}
	}
}

func TestIDEncryptionIsReversible(t *testing.T) {
	key := testKey(t, 7)
	rapid.Check(t, func(t *rapid.T) {
		id, tweak := rapid.Uint64().Draw(t, "id"), byte(rapid.IntRange(0, 1).Draw(t, "tweak"))
		if got := key.decryptID(key.encryptID(id, tweak), tweak); got != id {
			t.Fatalf("id %x is %x after encryption and decryption", id, got)
		}
	})
	if key.encryptID(5, customerTweak) == key.encryptID(5, counterTweak) {
		t.Error("a customer id and an equal counter name are encrypted to the same value")
	}
	none := Key{}
	if none.encryptID(5, customerTweak) != 5 {
		t.Error("an id was changed without a key")
	}
}

func TestReadKeyRefusesFilesOpenToOthers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(file, []byte(hex.EncodeToString(make([]byte, secretSize))+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKey(file); err != nil {
		t.Error(err)
	}
	if err := os.Chmod(file, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKey(file); err == nil || !strings.Contains(err.Error(), "chmod 600") {
		t.Errorf("key file with mode 0640: error %v, want advice to run chmod 600", err)
	}
	if err := os.WriteFile(file, []byte("abc"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadKey(file); err == nil {
		t.Error("a key file with three digits was accepted")
	}
}

// TestSegmentsAreReadInSequence checks that several segments are read as one capture, and
// that a missing segment is reported.
func TestSegmentsAreReadInSequence(t *testing.T) {
	key := testKey(t, 7)
	files := writeCapture(t, WriterOptions{Key: key, SegmentBytes: 1}, 9000)
	if len(files) < 3 {
		t.Fatalf("%d segments, want at least 3", len(files))
	}
	all := func(files []string) (int, error) {
		segments, err := FindSegments(files...)
		if err != nil {
			return 0, err
		}
		s := NewMultiReader(segments, &key)
		defer s.Close()
		for {
			if _, _, err := s.Next(); err != nil {
				return s.Records(), err
			}
		}
	}
	if n, err := all(files); !errors.Is(err, io.EOF) || n != 18001 {
		t.Errorf("%d records, error %v; want 18001 records", n, err)
	}
	if _, err := all(append(files[:1:1], files[2:]...)); !errors.Is(err, ErrMissingSegment) {
		t.Errorf("without the second segment: error %v, want %v", err, ErrMissingSegment)
	}
	if err := os.Rename(files[1], files[1]+".x"); err != nil {
		t.Fatal(err)
	}
}

func TestOldSegmentsAreRemoved(t *testing.T) {
	folder := t.TempDir()
	files := writeCapture(t, WriterOptions{Folder: folder, SegmentBytes: 4000, MaxTotalBytes: 20000}, 60000)
	sum := int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		sum += info.Size()
	}
	if sum > 40000 || strings.HasSuffix(files[0], "-000001"+segmentSuffix) {
		t.Errorf("%d bytes in %d segments, the first %s", sum, len(files), filepath.Base(files[0]))
	}
}

// TestCaptureContinuesAfterFolderIsLost checks that records which can't be written because
// the folder was removed are counted, and are reported as a gap once the capture continues.
func TestCaptureContinuesAfterFolderIsLost(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "captures")
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	w, err := newBlockWriter(WriterOptions{Folder: folder, Name: "n0", SegmentBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	record, err := proto.Marshal(&capturepb.Record{Kind: capturepb.Kind_GONE, Id: 3})
	if err != nil {
		t.Fatal(err)
	}
	block := pendingBlock{raw: append([]byte{byte(len(record))}, record...), records: 1, firstTime: 1e6}
	w.write(block) // ends the first segment, begins the second
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	w.write(block) // into a file that is not there any more, and then no third can be begun
	w.write(block)
	if w.lost != 1 || w.Stats.Lost.Load() != 1 {
		t.Fatalf("%d records lost, %d in Stats; want 1 in both", w.lost, w.Stats.Lost.Load())
	}
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	w.retryAt = w.retryAt.Add(-2 * retryInterval)
	w.write(block)
	w.endSegment()
	segments, err := FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	s := NewMultiReader(segments, &w.options.Key)
	defer s.Close()
	var gap *GapError
	if _, _, err := s.Next(); !errors.As(err, &gap) || gap.Lost != 1 {
		t.Fatalf("error %v, want a gap of 1 record", err)
	}
	if r, at, err := s.Next(); err != nil || r.GetId() != 3 || at != 1e6 {
		t.Errorf("after the gap: record %v at %d, error %v; want request 3 at 1 s", r, at, err)
	}
}

// TestCaptureContinuesAfterDiskWasFull checks that records which don't fit on the disk are
// counted as lost, and that the records written once there is room again follow a gap.
func TestCaptureContinuesAfterDiskWasFull(t *testing.T) {
	folder := t.TempDir()
	w, err := newBlockWriter(WriterOptions{Folder: folder, Name: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	_ = w.file.Close()
	w.file = full
	record, err := proto.Marshal(&capturepb.Record{Kind: capturepb.Kind_GONE, Id: 3})
	if err != nil {
		t.Fatal(err)
	}
	block := pendingBlock{raw: append([]byte{byte(len(record))}, record...), records: 1, firstTime: 1e6}
	w.write(block)
	w.write(block) // within retryInterval, in which no further attempt is made
	if lost, errs := w.Stats.Lost.Load(), w.Stats.Errors.Load(); lost != 2 || errs != 1 {
		t.Errorf("%d records lost, %d errors; want 2 and 1", lost, errs)
	}
	w.retryAt = w.retryAt.Add(-2 * retryInterval)
	w.write(block)
	w.endSegment()
	segments, err := FindSegments(folder)
	if err != nil || len(segments) != 2 {
		t.Fatal(segments, err)
	}
	s := NewMultiReader(segments[1:], &w.options.Key)
	defer s.Close()
	var gap *GapError
	if _, _, err := s.Next(); !errors.As(err, &gap) || gap.Lost != 2 {
		t.Errorf("error %v, want a gap of 2 records", err)
	}
	if r, _, err := s.Next(); err != nil || r.GetId() != 3 {
		t.Errorf("after the gap: record %v, error %v; want request 3", r, err)
	}
}

// TestSlowDiskDoesNotBlockEventLoop checks that while nothing is written the encoder neither
// blocks nor queues more than a fixed number of blocks, and that dropped blocks are
// reported as gaps.
func TestSlowDiskDoesNotBlockEventLoop(t *testing.T) {
	folder := t.TempDir()
	w, err := newBlockWriter(WriterOptions{Folder: folder, Name: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	w.Encoder = newEncoder(w, &w.options.Key)
	const blocks = 3 * queueLength
	for n := range blocks {
		w.Encoder.ClientGone(policy.Micros(1e6+2*n*maxBlockAge), 1)
		w.Encoder.ClientGone(policy.Micros(1e6+(2*n+1)*maxBlockAge), 2) // completes the block, as it is maxBlockAge later
	}
	if held := len(w.queue); held != queueLength || w.Stats.Lost.Load() != 2*(blocks-queueLength) {
		t.Fatalf("%d blocks queued, %d records lost; want %d and %d", held, w.Stats.Lost.Load(), queueLength, 2*(blocks-queueLength))
	}
	go w.run() // the disk works again
	for w.Encoder.ClientGone(2e9, 9); len(w.queue) > 0; {
		runtime.Gosched()
	}
	w.Close()
	segments, err := FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	s := NewMultiReader(segments, &w.options.Key)
	defer s.Close()
	lost := 0
	for {
		_, _, err := s.Next()
		var gap *GapError
		if errors.As(err, &gap) {
			lost += int(gap.Lost)
		} else if err != nil {
			if !errors.Is(err, io.EOF) {
				t.Error(err)
			}
			break
		}
	}
	if want := 2 * (blocks - queueLength); lost != want || s.Records() != 2*queueLength+1 {
		t.Errorf("%d records lost, %d read; want %d and %d", lost, s.Records(), want, 2*queueLength+1)
	}
}

// fullSink is a blockSink whose queue is always full. It counts the records of complete
// blocks.
type fullSink struct{ records int }

func (s *fullSink) submit(b pendingBlock) []byte     { s.records += int(b.records); return b.raw[:0] }
func (s *fullSink) checkpointDue(policy.Micros) bool { return false }
func (s *fullSink) submitCheckpoint(pendingBlock)    {}

// TestBlockIsPassedOnByAge guards against losing more than a quarter of a second of records
// in a crash.
func TestBlockIsPassedOnByAge(t *testing.T) {
	to := &fullSink{}
	e := newEncoder(to, &Key{})
	for i := range 100 {
		e.TimerExpired(policy.Micros(1e6+i*10000), 0)
	}
	if to.records < 75 {
		t.Errorf("%d of 100 records of one second were passed on, want at least 75", to.records)
	}
}

// FuzzRead checks that a reader does not panic on malformed input, nor return more records
// than the input has bytes.
func FuzzRead(f *testing.F) {
	text, err := os.ReadFile(writeCapture(f, WriterOptions{}, 4)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:len(text)-blockHeaderSize])
	f.Fuzz(func(t *testing.T, text []byte) {
		if n, err := readCapture(text, Key{}); err == nil && n > len(text) {
			t.Fatalf("%d records in %d bytes", n, len(text))
		}
	})
}

// TestLocateFindsRequestByName checks that the index leads to a checkpoint shortly before
// the request, and that reading from there verifies the blocks.
func TestLocateFindsRequestByName(t *testing.T) {
	key := testKey(t, 7)
	folder := t.TempDir()
	w, err := NewWriter(WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", Key: key, RunID: 1, SegmentBytes: 5000, CheckpointEvery: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	g := policy.New(policy.Settings{GatewayCount: 1}, 1)
	w.Started(1e6, policy.Settings{GatewayCount: 1}, 1)
	for i := range 8000 {
		now := policy.Micros(1e6 + i*1000)
		w.OfferCheckpoint(now, g.Snapshot)
		w.RequestNamed(uint32(i), fmt.Sprintf("name-%d", i))
		w.RequestReceived(now, policy.Request{ID: uint32(i), Customer: uint64(i % 3)})
	}
	w.Close()
	segments, err := FindSegments(folder)
	if err != nil || len(segments) < 3 {
		t.Fatal(len(segments), err)
	}
	if _, ok := LocateRequest(segments, "nobody"); ok {
		t.Error("found a name that is not in the capture")
	}
	for _, n := range []int{0, 1, 3999, 7999} {
		p, ok := LocateRequest(segments, fmt.Sprintf("name-%d", n))
		if !ok {
			t.Fatalf("name-%d was not found", n)
		}
		s := NewMultiReader(segments, &key)
		s.StartAt(p)
		first, _, err := s.Next()
		if err != nil || first.GetKind() != capturepb.Kind_CHECKPOINT && first.GetKind() != capturepb.Kind_BEGAN {
			t.Fatalf("name-%d: first record %v, error %v; want a checkpoint or the start of a run", n, first.GetKind(), err)
		}
		read := 1
		for ; ; read++ {
			r, _, err := s.Next()
			if err != nil {
				t.Fatalf("name-%d: %v", n, err)
			}
			if r.GetText() == fmt.Sprintf("name-%d", n) {
				break
			}
		}
		if read > 1000 {
			t.Errorf("name-%d: %d records were read, want at most 1000", n, read)
		}
		s.Close()
	}
	x, err := ReadIndex(segments[0].File)
	if err != nil || !x.HasCustomer(key.encryptID(2, customerTweak)) || x.HasCustomer(key.encryptID(9, customerTweak)) {
		t.Errorf("customers in the index: %v", err)
	}
}

// TestCutOutWritesAReplayableCapture checks that an extracted part starts with a checkpoint,
// ends at the requested time, and is a valid capture of its own.
func TestCutOutWritesAReplayableCapture(t *testing.T) {
	key := testKey(t, 7)
	folder, to := t.TempDir(), t.TempDir()
	w, err := NewWriter(WriterOptions{WaitForDisk: true, Folder: folder, Name: "n0", Key: key, RunID: 1, CheckpointEvery: 100 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	g := policy.New(policy.Settings{GatewayCount: 1}, 1)
	w.Started(1e6, policy.Settings{GatewayCount: 1}, 1)
	for i := range 3000 {
		now := policy.Micros(1e6 + i*1000)
		w.OfferCheckpoint(now, g.Snapshot)
		w.ClientGone(now, uint32(i))
	}
	w.Close()
	segments, err := FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Extract(segments, &key, 1e6+1500*1000, 1e6+1700*1000, to)
	if err != nil || n < 200 || n > 400 {
		t.Fatalf("%d records, error %v; want 200 to 400 records", n, err)
	}
	files, err := filepath.Glob(filepath.Join(to, "*"+segmentSuffix))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readCapture(text, key); err != nil || got != n {
		t.Errorf("read %d records, error %v; want %d", got, err, n)
	}
	if _, err := Extract(segments[:1], &key, 5, 6, t.TempDir()); err != nil {
		t.Errorf("a part before the start of the capture: %v", err)
	}
}
