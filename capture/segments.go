package capture

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"foxwood/capture/capturepb"
	"foxwood/policy"
)

// Segment is one file of a capture.
type Segment struct {
	File           string
	RunID          uint64                // id of the run
	Number         uint32                // number of the segment in its run, from 1
	KeyFingerprint [fingerprintSize]byte // fingerprint of the key
	FirstRecord    policy.Micros         // time of its first record, 0 if it has none
	Size           int64                 // bytes
}

// FindSegments lists the segments at some paths, each a file or a folder, ordered by the start of
// their run and by their number. A file that is not a capture is an error, but files in a
// folder whose names don't have the suffix of a segment are ignored.
func FindSegments(paths ...string) ([]Segment, error) {
	var all []Segment
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		files := []string{p}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(p, "*"+segmentSuffix)); err != nil {
				return nil, fmt.Errorf("capture: %w", err)
			}
		}
		for _, f := range files {
			s, err := readSegment(f)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			all = append(all, s)
		}
	}
	runStart := map[uint64]policy.Micros{}
	for _, s := range all {
		if at, ok := runStart[s.RunID]; !ok || s.FirstRecord > 0 && s.FirstRecord < at {
			runStart[s.RunID] = s.FirstRecord
		}
	}
	slices.SortFunc(all, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(runStart[a.RunID], runStart[b.RunID]), cmp.Compare(a.RunID, b.RunID), cmp.Compare(a.Number, b.Number))
	})
	return all, nil
}

// FindSegmentsOf lists the segments of one gatekeeper in a folder. It ignores files without a
// readable segment header, since a crash may leave such files.
func FindSegmentsOf(folder, name string) ([]Segment, error) {
	files, err := filepath.Glob(filepath.Join(folder, name+"-*"+segmentSuffix))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var readable []string
	for _, f := range files {
		if _, err := readSegment(f); err == nil {
			readable = append(readable, f)
		}
	}
	return FindSegments(readable...)
}

// readSegment reads the header of a segment and the time of its first block.
func readSegment(file string) (Segment, error) {
	f, err := os.Open(file)
	if err != nil {
		return Segment{}, err
	}
	defer f.Close()
	encoded := make([]byte, segmentHeaderSize+macSize+blockHeaderSize)
	n, err := io.ReadFull(f, encoded)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return Segment{}, ErrNotCapture
	}
	var header segmentHeader
	if err := header.parse(encoded[:n]); err != nil {
		return Segment{}, err
	}
	s := Segment{File: file, RunID: header.runID, Number: header.number, KeyFingerprint: header.fingerprint}
	if n == len(encoded) {
		var first blockHeader
		first.parse(encoded[segmentHeaderSize+macSize:])
		s.FirstRecord = first.first
	}
	if info, err := f.Stat(); err == nil {
		s.Size = info.Size()
	}
	return s, nil
}

// MultiReader reads a list of segments as one capture.
type MultiReader struct {
	key         *Key
	segments    []Segment
	file        *os.File
	reader      *Reader
	current     int    // index of the current segment
	previousMAC []byte // last MAC of the previous segment, nil if that segment could not be read to its end
	records     int
	start       Position // where to start, if StartAt has set it
}

// NewMultiReader creates a MultiReader that reads segments in the given order, which should be that of FindSegments.
func NewMultiReader(segments []Segment, key *Key) *MultiReader {
	return &MultiReader{key: key, segments: segments}
}

// Current returns the segment that is being read.
func (s *MultiReader) Current() Segment { return s.segments[min(s.current, len(s.segments)-1)] }

// Records returns the number of records returned so far.
func (s *MultiReader) Records() int { return s.records }

// Progress returns how many bytes of the segments have been read, and how many there are.
func (s *MultiReader) Progress() (done, total int64) {
	for i, seg := range s.segments {
		if i < s.current {
			done += seg.Size
		}
		total += seg.Size
	}
	if s.reader != nil {
		done += s.reader.offset
	}
	return done, total
}

// Close closes the segment that is being read.
func (s *MultiReader) Close() {
	if s.reader != nil {
		s.reader.Close()
		_ = s.file.Close()
		s.reader = nil
	}
}

// TruncatedError is an error that reports a segment without its end block: its gatekeeper crashed, or
// the file was truncated. The segments after it can still be read.
type TruncatedError struct {
	File string
	Err  error
}

// Error implements error.
func (c *TruncatedError) Error() string { return c.File + ": " + c.Err.Error() }

// Unwrap returns the underlying error.
func (c *TruncatedError) Unwrap() error { return c.Err }

// Next returns the next record of all segments, like Reader.Next. It returns a *TruncatedError once for
// each truncated segment and a *GapError once for each gap, and io.EOF after the last segment.
func (s *MultiReader) Next() (*capturepb.Record, policy.Micros, error) {
	for {
		if s.reader == nil {
			if s.current >= len(s.segments) {
				return nil, 0, io.EOF
			}
			if err := s.openNext(); err != nil {
				return nil, 0, err
			}
		}
		r, at, err := s.reader.Next()
		var gap *GapError
		switch {
		case err == nil:
			s.records++
			return r, at, nil
		case errors.As(err, &gap):
			return nil, 0, err
		}
		file, link := s.segments[s.current].File, s.reader.LastMAC()
		s.Close()
		s.current++
		if s.previousMAC = link; errors.Is(err, io.EOF) {
			continue
		}
		s.previousMAC = nil // the MAC of the segment's last, incomplete block is not known
		if errors.Is(err, ErrTruncated) {
			return nil, 0, &TruncatedError{file, err}
		}
		return nil, 0, fmt.Errorf("%s: %w", file, err)
	}
}

// Each calls record with every record, and fault with every *TruncatedError and *GapError. It returns nil at
// the end of the capture, or the first error after which nothing more can be read.
func (s *MultiReader) Each(record func(*capturepb.Record), problem func(error)) error {
	for {
		r, _, err := s.Next()
		var gap *GapError
		var cut *TruncatedError
		switch {
		case err == nil:
			record(r)
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &gap), errors.As(err, &cut):
			problem(err)
		default:
			return err
		}
	}
}

// openNext opens the next segment. If the previous one belongs to the same run, it checks that
// none is missing between the two.
func (s *MultiReader) openNext() error {
	seg := s.segments[s.current]
	var previousMAC []byte
	if s.current > s.start.Segment && s.segments[s.current-1].RunID == seg.RunID {
		if s.segments[s.current-1].Number+1 != seg.Number {
			return fmt.Errorf("%s: segment %d follows segment %d: %w", seg.File, seg.Number, s.segments[s.current-1].Number, ErrMissingSegment)
		}
		previousMAC = s.previousMAC
	}
	f, err := os.Open(seg.File)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	r, err := NewReader(f, s.key, previousMAC)
	if err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", seg.File, err)
	}
	if p := s.start; p.Offset > 0 && p.Segment == s.current {
		if err := r.seek(f, p); err != nil {
			r.Close()
			_ = f.Close()
			return err
		}
	}
	s.file, s.reader = f, r
	return nil
}
