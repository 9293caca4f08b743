package service

import (
	"fmt"
	"log/slog"
	"time"

	"foxwood/capture"
	"foxwood/gatekeeper"
	"foxwood/internal/gateway/config"
	"foxwood/internal/replay"
	"foxwood/policy"
)

// maxRecoveryAge is how old the end of a captured run may be for its state to be recovered.
// After that time every quota bucket is full again anyway, or the machine was down.
const maxRecoveryAge = 5 * time.Minute

// openCapture starts the capture of this run.
func openCapture(cfg config.Config, clock *gatekeeper.Clock, seed uint64) (*capture.Writer, error) {
	options := capture.WriterOptions{Folder: cfg.Capture.Dir, Name: cfg.Name, RunID: capture.NewRunID(policy.Micros(clock.Now()*1000), seed),
		SegmentBytes: cfg.Capture.SegmentMB << 20, MaxTotalBytes: cfg.Capture.MaxTotalMB << 20,
		MaxAge: time.Duration(cfg.Capture.MaxAgeHours * float64(time.Hour))}
	var err error
	if options.Key, err = captureKey(cfg); err != nil {
		return nil, err
	}
	return capture.NewWriter(options)
}

// captureKey reads the configured encryption key. Without one it returns the zero key.
func captureKey(cfg config.Config) (capture.Key, error) {
	if cfg.Capture.KeyFile == "" {
		return capture.Key{}, nil
	}
	return capture.ReadKey(cfg.Capture.KeyFile)
}

// recoverState returns the state at the end of this gatekeeper's last captured run, or nil if
// there is none to continue from. An unusable capture is logged and the start is cold.
func recoverState(cfg config.Config, now time.Time) *gatekeeper.PreviousProcess {
	state, err := replayLastRun(cfg, now)
	switch {
	case err != nil:
		slog.Warn("capture: cold start, the last run can't be replayed", "error", err)
		return nil
	case state == nil:
		slog.Info("capture: cold start, there is no recent run")
	default:
		slog.Info("capture: warm start", "age_ms", now.UnixMilli()-state.State.Now/1000, "exact", state.Complete, "customers", len(state.State.KnownCustomers))
	}
	return state
}

// replayLastRun replays the last captured run from its last checkpoint on. It starts at the
// newest segment, and goes back segment by segment until one holds a checkpoint. It returns
// nil without an error if there is no run to recover or it ended more than maxRecoveryAge ago.
func replayLastRun(cfg config.Config, now time.Time) (*gatekeeper.PreviousProcess, error) {
	key, err := captureKey(cfg)
	if err != nil {
		return nil, err
	}
	segments, err := capture.FindSegmentsOf(cfg.Capture.Dir, cfg.Name)
	if err != nil || len(segments) == 0 {
		return nil, err
	}
	last := segments[len(segments)-1]
	for first := len(segments) - 1; first >= 0 && segments[first].RunID == last.RunID; first-- {
		set := capture.NewMultiReader(segments[first:], &key)
		report, err := replay.Run(set, &key, replay.Options{})
		set.Close()
		if err != nil {
			return nil, err
		}
		if len(report.Differences) > 0 {
			return nil, fmt.Errorf("replay of the last run: expected the captured decisions, but this build decides differently at %d us", report.Differences[0].At)
		}
		gateway, ok := report.Module.(*policy.Gateway)
		if !ok || gateway == nil {
			continue
		}
		if now.UnixMicro()-report.Last > maxRecoveryAge.Microseconds() {
			return nil, nil
		}
		return &gatekeeper.PreviousProcess{State: gateway.Snapshot(), Complete: report.Complete}, nil
	}
	return nil, nil
}
