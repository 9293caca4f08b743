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

// ErrNoReplayStart reports that the requested part of a capture holds no record from which a
// replay can start.
var ErrNoReplayStart = errors.New("the requested part holds neither a checkpoint nor the start of a process, so it can't be replayed")

// Extract copies the records from one time to another into a new capture in a folder,
// under the same key. So that the copy can be replayed, it starts at the last checkpoint
// or process start at or before the time from; if there is none, at the first one after
// it. It returns the number of records copied.
func Extract(segments []Segment, key *Key, from, until policy.Micros, folder string) (int, error) {
	start, err := startIndex(segments, key, from)
	if err != nil {
		return 0, err
	}
	writer, err := newBlockWriter(WriterOptions{Folder: folder, Name: "cut", RunID: segments[0].RunID, Key: *key})
	if err != nil {
		return 0, err
	}
	var block pendingBlock
	var lastTime policy.Micros
	flush := func() {
		if block.records > 0 {
			writer.write(block)
			block = pendingBlock{}
		}
	}
	set := NewMultiReader(segments, key)
	defer set.Close()
	records := 0
	for index := 0; ; index++ {
		record, at, err := set.Next()
		var gap *GapError
		var truncated *TruncatedError
		switch {
		case errors.As(err, &gap):
			index--
			if records > 0 {
				flush()
				writer.lost += gap.Lost
			}
			continue
		case errors.As(err, &truncated):
			index--
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return records, err
		}
		if err != nil || at > until {
			flush()
			writer.endSegment()
			if failed := writer.Stats.Errors.Load(); failed > 0 {
				return records, fmt.Errorf("capture: %d writes to %s failed", failed, folder)
			}
			return records, nil
		}
		if index < start {
			continue
		}
		if block.records == 0 {
			block.firstTime, lastTime = at, at
		}
		record.After = at - lastTime
		lastTime = at
		encoded, err := proto.Marshal(record)
		if err != nil {
			return records, fmt.Errorf("capture: %w", err)
		}
		block.raw = protowire.AppendBytes(block.raw, encoded)
		block.records++
		records++
		if record.GetKind() == capturepb.Kind_NAMED {
			block.names = append(block.names, indexHash([]byte(record.GetText())))
		}
		if len(block.raw) >= maxBlockBytes {
			flush()
		}
	}
}

// startIndex returns the index of the record to start with.
func startIndex(segments []Segment, key *Key, from policy.Micros) (int, error) {
	set := NewMultiReader(segments, key)
	defer set.Close()
	start := -1
	for index := 0; ; index++ {
		record, at, err := set.Next()
		var gap *GapError
		var truncated *TruncatedError
		switch {
		case errors.As(err, &gap), errors.As(err, &truncated):
			index--
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return 0, err
		}
		if err != nil || at > from && start >= 0 {
			if start < 0 {
				return 0, ErrNoReplayStart
			}
			return start, nil
		}
		if k := record.GetKind(); k == capturepb.Kind_BEGAN || k == capturepb.Kind_CHECKPOINT {
			start = index
		}
	}
}
