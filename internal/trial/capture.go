package trial

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/internal/replay"
)

// captured, behind a transport's name, has its gatekeeper keep a capture.
const captured = "captured"

// bytesOf is how much some segments hold.
func bytesOf(segments []capture.Segment) (n int64) {
	for _, s := range segments {
		n += s.Size
	}
	return n
}

// Captures measures a gatekeeper with and without a capture, interleaved, and then what
// the capture takes to keep, to replay and to explain one request from.
func Captures(ctx context.Context, o Options, to io.Writer) error {
	dir, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	o.Dir = dir
	o.Transports = []string{"one-at-a-time", "one-at-a-time " + captured}
	table, err := Transports(ctx, o)
	if err != nil {
		return err
	}
	if err := table.Write(to); err != nil {
		return err
	}
	segments, err := capture.Find(filepath.Join(dir, captured))
	if err != nil {
		return err
	}
	size := bytesOf(segments)
	key := capture.Key{}
	requests, last := 0, ""
	began := time.Now()
	set := capture.NewSet(segments, &key)
	defer set.Close()
	err = set.Each(func(r *capturepb.Record) {
		switch r.GetKind() {
		case capturepb.Kind_REQUESTED:
			requests++
		case capturepb.Kind_NAMED:
			last = r.GetText()
		}
	}, func(err error) { fmt.Fprintf(to, "\n%v\n", err) })
	if err != nil {
		return err
	}
	read := time.Since(began)
	records := set.Records()
	played := capture.NewSet(segments, &key)
	defer played.Close()
	began = time.Now()
	report, err := replay.Run(played, &key, replay.Options{})
	if err != nil {
		return err
	}
	replayed := time.Since(began)
	asked := capture.NewSet(segments, &key)
	defer asked.Close()
	began = time.Now()
	if p, ok := capture.Locate(segments, last); ok {
		asked.Skip(p)
	}
	if err := replay.Explain(io.Discard, asked, &key, last); err != nil {
		return err
	}
	explained := time.Since(began)
	span := float64(report.Last-report.First) / 1e6
	_, err = fmt.Fprintf(to, `
### The capture

| figure | value |
| --- | ---: |
| requests, records | %d, %d |
| bytes a record, a request | %.1f, %.1f |
| MB for a million requests | %.0f |
| records read and verified a second | %.0f |
| module's calls replayed a second, with their decisions compared | %.0f |
| time replayed in a second, at this load | %.0f s |
| lives, differences | %d, %d |
| explaining the last request, by index and checkpoint | %.2f s |
`, requests, records, float64(size)/float64(max(records, 1)), float64(size)/float64(max(requests, 1)),
		float64(size)/float64(max(requests, 1)), float64(records)/read.Seconds(), float64(report.Calls)/replayed.Seconds(),
		span/replayed.Seconds(), report.Lives, len(report.Differences), explained.Seconds())
	return err
}
