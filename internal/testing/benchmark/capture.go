package benchmark

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

// captureSuffix is appended to a transport's name to have its gateway write a capture.
const captureSuffix = "captured"

// totalSize returns the total size of segments in bytes.
func totalSize(segments []capture.Segment) (total int64) {
	for _, segment := range segments {
		total += segment.Size
	}
	return total
}

// MeasureCapture measures a gateway with and without a capture, in interleaved runs, and then the size of the
// capture and the time it takes to read it, to replay it, and to explain one request from it. It
// writes the results as Markdown.
func MeasureCapture(ctx context.Context, options Options, out io.Writer) error {
	dir, err := os.MkdirTemp("", "foxwood-trial")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer os.RemoveAll(dir)
	options.WorkDir = dir
	options.Transports = []string{"one-at-a-time", "one-at-a-time " + captureSuffix}
	table, err := CompareTransports(ctx, options)
	if err != nil {
		return err
	}
	if err := table.Write(out); err != nil {
		return err
	}
	segments, err := capture.FindSegments(filepath.Join(dir, captureSuffix))
	if err != nil {
		return err
	}
	size := totalSize(segments)
	key := capture.Key{}
	requests, lastName := 0, ""
	began := time.Now()
	records := capture.NewMultiReader(segments, &key)
	defer records.Close()
	err = records.Each(func(record *capturepb.Record) {
		switch record.GetKind() {
		case capturepb.Kind_REQUESTED:
			requests++
		case capturepb.Kind_NAMED:
			lastName = record.GetText()
		}
	}, func(err error) { fmt.Fprintf(out, "\n%v\n", err) })
	if err != nil {
		return err
	}
	readTime := time.Since(began)
	recordCount := records.Records()
	replaySet := capture.NewMultiReader(segments, &key)
	defer replaySet.Close()
	began = time.Now()
	report, err := replay.Run(replaySet, &key, replay.Options{})
	if err != nil {
		return err
	}
	replayTime := time.Since(began)
	explainSet := capture.NewMultiReader(segments, &key)
	defer explainSet.Close()
	began = time.Now()
	if p, ok := capture.LocateRequest(segments, lastName); ok {
		explainSet.StartAt(p)
	}
	if err := replay.Explain(io.Discard, explainSet, &key, lastName); err != nil {
		return err
	}
	explainTime := time.Since(began)
	capturedSeconds := float64(report.Last-report.First) / 1e6
	_, err = fmt.Fprintf(out, `
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
`, requests, recordCount, float64(size)/float64(max(recordCount, 1)), float64(size)/float64(max(requests, 1)),
		float64(size)/float64(max(requests, 1)), float64(recordCount)/readTime.Seconds(), float64(report.Calls)/replayTime.Seconds(),
		capturedSeconds/replayTime.Seconds(), report.Runs, len(report.Differences), explainTime.Seconds())
	return err
}
