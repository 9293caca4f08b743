package service

import (
	"fmt"
	"log/slog"
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/config"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// warmMost is the age past which nothing of an earlier life is looked at: every store is
// full by then, or the machine was away.
const warmMost = 5 * time.Minute

// openCapture begins a capture of this life.
func openCapture(c config.Config, clock *gatekeeper.Clock, seed uint64) (*capture.Writer, error) {
	o := capture.Options{Folder: c.Capture.Folder, Name: c.Name, Life: capture.Life(policy.Micros(clock.Now()*1000), seed),
		SegmentMost: c.Capture.SegmentMB << 20, KeptMost: c.Capture.KeptMB << 20,
		AgeMost: time.Duration(c.Capture.KeptHours * float64(time.Hour))}
	var err error
	if o.Key, err = captureKey(c); err != nil {
		return nil, err
	}
	return capture.NewWriter(o)
}

func captureKey(c config.Config) (capture.Key, error) {
	if c.Capture.Key == "" {
		return capture.Key{}, nil
	}
	return capture.ReadKey(c.Capture.Key)
}

// earlier is what the last life of this gatekeeper knew at its end, nil where there is
// none to go on from. Whatever is wrong with its capture is said, and the start is cold.
func earlier(c config.Config, now time.Time) *gatekeeper.Earlier {
	e, err := lastLife(c, now)
	switch {
	case err != nil:
		slog.Warn("capture: cold start", "error", err)
		return nil
	case e == nil:
		slog.Info("capture: cold start, no recent life is there")
	default:
		slog.Info("capture: warm start", "age_ms", now.UnixMilli()-e.State.Now/1000, "exact", e.Exact, "customers", len(e.State.Listed))
	}
	return e
}

// lastLife plays the last life from its last checkpoint on: an older one only where the
// last segments hold none.
func lastLife(c config.Config, now time.Time) (*gatekeeper.Earlier, error) {
	key, err := captureKey(c)
	if err != nil {
		return nil, err
	}
	segments, err := capture.FindName(c.Capture.Folder, c.Name)
	if err != nil || len(segments) == 0 {
		return nil, err
	}
	last := segments[len(segments)-1]
	for from := len(segments) - 1; from >= 0 && segments[from].Life == last.Life; from-- {
		set := capture.NewSet(segments[from:], &key)
		report, err := replay.Run(set, &key, replay.Options{})
		set.Close()
		if err != nil {
			return nil, err
		}
		if len(report.Differences) > 0 {
			return nil, fmt.Errorf("this build decides otherwise than the last life at %d us", report.Differences[0].At)
		}
		g, ok := report.Module.(*policy.Gateway)
		if !ok || g == nil {
			continue
		}
		if now.UnixMicro()-report.Last > warmMost.Microseconds() {
			return nil, nil
		}
		return &gatekeeper.Earlier{State: g.Snapshot(), Exact: report.Ended}, nil
	}
	return nil, nil
}
