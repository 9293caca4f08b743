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
	File  string
	Life  uint64          // id of the run
	N     uint32          // number of the segment in its run, from 1
	Print [printSize]byte // fingerprint of the key
	First policy.Micros   // time of its first record, 0 if it has none
	Size  int64           // bytes
}

// Find lists the segments at some paths, each a file or a folder, ordered by the start of
// their run and by their number. A file that is not a capture is an error, but files in a
// folder whose names don't have the suffix of a segment are ignored.
func Find(paths ...string) ([]Segment, error) {
	var all []Segment
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		files := []string{p}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(p, "*"+suffix)); err != nil {
				return nil, fmt.Errorf("capture: %w", err)
			}
		}
		for _, f := range files {
			s, err := look(f)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			all = append(all, s)
		}
	}
	began := map[uint64]policy.Micros{}
	for _, s := range all {
		if at, ok := began[s.Life]; !ok || s.First > 0 && s.First < at {
			began[s.Life] = s.First
		}
	}
	slices.SortFunc(all, func(a, b Segment) int {
		return cmp.Or(cmp.Compare(began[a.Life], began[b.Life]), cmp.Compare(a.Life, b.Life), cmp.Compare(a.N, b.N))
	})
	return all, nil
}

// FindName lists the segments of one gatekeeper in a folder. It ignores files without a
// readable segment header, since a crash may leave such files.
func FindName(folder, name string) ([]Segment, error) {
	files, err := filepath.Glob(filepath.Join(folder, name+"-*"+suffix))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var well []string
	for _, f := range files {
		if _, err := look(f); err == nil {
			well = append(well, f)
		}
	}
	return Find(well...)
}

// look reads the header of a segment and the time of its first block.
func look(file string) (Segment, error) {
	f, err := os.Open(file)
	if err != nil {
		return Segment{}, err
	}
	defer f.Close()
	b := make([]byte, segmentHead+linkSize+blockHead)
	n, err := io.ReadFull(f, b)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return Segment{}, ErrNotOne
	}
	var h header
	if err := h.parse(b[:n]); err != nil {
		return Segment{}, err
	}
	s := Segment{File: file, Life: h.life, N: h.n, Print: h.print}
	if n == len(b) {
		var first block
		first.parse(b[segmentHead+linkSize:])
		s.First = first.first
	}
	if info, err := f.Stat(); err == nil {
		s.Size = info.Size()
	}
	return s, nil
}

// Set reads a list of segments as one capture.
type Set struct {
	key      *Key
	segments []Segment
	file     *os.File
	reader   *Reader
	at       int    // index of the current segment
	link     []byte // last MAC of the previous segment, nil if that segment could not be read to its end
	records  int
	from     Place // where to start, if Skip has set it
}

// NewSet creates a Set that reads segments in the given order, which should be that of Find.
func NewSet(segments []Segment, key *Key) *Set { return &Set{key: key, segments: segments} }

// Current returns the segment that is being read.
func (s *Set) Current() Segment { return s.segments[min(s.at, len(s.segments)-1)] }

// Records returns the number of records returned so far.
func (s *Set) Records() int { return s.records }

// Read returns how many bytes of the segments have been read, and how many there are.
func (s *Set) Read() (n, of int64) {
	for i, seg := range s.segments {
		if i < s.at {
			n += seg.Size
		}
		of += seg.Size
	}
	if s.reader != nil {
		n += s.reader.at
	}
	return n, of
}

// Close closes the segment that is being read.
func (s *Set) Close() {
	if s.reader != nil {
		s.reader.Close()
		_ = s.file.Close()
		s.reader = nil
	}
}

// Cut is an error that reports a segment without its end block: its gatekeeper crashed, or
// the file was truncated. The segments after it can still be read.
type Cut struct {
	File string
	Err  error
}

// Error implements error.
func (c *Cut) Error() string { return c.File + ": " + c.Err.Error() }

// Unwrap returns the underlying error.
func (c *Cut) Unwrap() error { return c.Err }

// Next returns the next record of all segments, like Reader.Next. It returns a *Cut once for
// each truncated segment and a *Gap once for each gap, and io.EOF after the last segment.
func (s *Set) Next() (*capturepb.Record, policy.Micros, error) {
	for {
		if s.reader == nil {
			if s.at >= len(s.segments) {
				return nil, 0, io.EOF
			}
			if err := s.open(); err != nil {
				return nil, 0, err
			}
		}
		r, at, err := s.reader.Next()
		var gap *Gap
		switch {
		case err == nil:
			s.records++
			return r, at, nil
		case errors.As(err, &gap):
			return nil, 0, err
		}
		file, link := s.segments[s.at].File, s.reader.Link()
		s.Close()
		s.at++
		if s.link = link; errors.Is(err, io.EOF) {
			continue
		}
		s.link = nil // the MAC of the segment's last, incomplete block is not known
		if errors.Is(err, ErrUnended) {
			return nil, 0, &Cut{file, err}
		}
		return nil, 0, fmt.Errorf("%s: %w", file, err)
	}
}

// Each calls record with every record, and fault with every *Cut and *Gap. It returns nil at
// the end of the capture, or the first error after which nothing more can be read.
func (s *Set) Each(record func(*capturepb.Record), fault func(error)) error {
	for {
		r, _, err := s.Next()
		var gap *Gap
		var cut *Cut
		switch {
		case err == nil:
			record(r)
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &gap), errors.As(err, &cut):
			fault(err)
		default:
			return err
		}
	}
}

// open opens the next segment. If the previous one belongs to the same run, it checks that
// none is missing between the two.
func (s *Set) open() error {
	seg := s.segments[s.at]
	var before []byte
	if s.at > s.from.Segment && s.segments[s.at-1].Life == seg.Life {
		if s.segments[s.at-1].N+1 != seg.N {
			return fmt.Errorf("%s: segment %d follows segment %d: %w", seg.File, seg.N, s.segments[s.at-1].N, ErrSequence)
		}
		before = s.link
	}
	f, err := os.Open(seg.File)
	if err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	r, err := NewReader(f, s.key, before)
	if err != nil {
		_ = f.Close()
		return fmt.Errorf("%s: %w", seg.File, err)
	}
	if p := s.from; p.Offset > 0 && p.Segment == s.at {
		if err := r.seek(f, p); err != nil {
			r.Close()
			_ = f.Close()
			return err
		}
	}
	s.file, s.reader = f, r
	return nil
}
