package capture

import (
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// ErrNothing reports that the requested part of a capture holds no record from which a
// replay can start.
var ErrNothing = errors.New("the requested part holds neither a checkpoint nor the start of a process, so it can't be replayed")

// CutOut copies the records from one time to another into a new capture in a folder,
// under the same key. So that the copy can be replayed, it starts at the last checkpoint
// or process start at or before the time from; if there is none, at the first one after
// it. It returns the number of records copied.
func CutOut(segments []Segment, key *Key, from, until policy.Micros, folder string) (int, error) {
	start, err := beginning(segments, key, from)
	if err != nil {
		return 0, err
	}
	w, err := newWriter(Options{Folder: folder, Name: "cut", Life: segments[0].Life, Key: *key})
	if err != nil {
		return 0, err
	}
	var b filled
	var last policy.Micros
	flush := func() {
		if b.records > 0 {
			w.write(b)
			b = filled{}
		}
	}
	set := NewSet(segments, key)
	defer set.Close()
	records := 0
	for n := 0; ; n++ {
		r, at, err := set.Next()
		var gap *Gap
		var torn *Cut
		switch {
		case errors.As(err, &gap):
			n--
			if records > 0 {
				flush()
				w.lost += gap.Lost
			}
			continue
		case errors.As(err, &torn):
			n--
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return records, err
		}
		if err != nil || at > until {
			flush()
			w.end()
			if failed := w.Stats.Errors.Load(); failed > 0 {
				return records, fmt.Errorf("capture: %d writes to %s failed", failed, folder)
			}
			return records, nil
		}
		if n < start {
			continue
		}
		if b.records == 0 {
			b.first, last = at, at
		}
		r.After = at - last
		last = at
		text, err := proto.Marshal(r)
		if err != nil {
			return records, fmt.Errorf("capture: %w", err)
		}
		b.raw = protowire.AppendBytes(b.raw, text)
		b.records++
		records++
		if r.GetKind() == capturepb.Kind_NAMED {
			b.names = append(b.names, short([]byte(r.GetText())))
		}
		if len(b.raw) >= blockMost {
			flush()
		}
	}
}

// beginning returns the index of the record to start with.
func beginning(segments []Segment, key *Key, from policy.Micros) (int, error) {
	set := NewSet(segments, key)
	defer set.Close()
	start := -1
	for n := 0; ; n++ {
		r, at, err := set.Next()
		var gap *Gap
		var torn *Cut
		switch {
		case errors.As(err, &gap), errors.As(err, &torn):
			n--
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return 0, err
		}
		if err != nil || at > from && start >= 0 {
			if start < 0 {
				return 0, ErrNothing
			}
			return start, nil
		}
		if k := r.GetKind(); k == capturepb.Kind_BEGAN || k == capturepb.Kind_CHECKPOINT {
			start = n
		}
	}
}
