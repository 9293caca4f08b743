package service

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"foxwood/capture"
	"foxwood/capture/capturepb"
	"foxwood/internal/replay"
)

// enableCapture makes the processes of a deployment write captures, and returns their folder
// and key.
func (s *deployment) enableCapture() (folder string, key capture.Key) {
	s.t.Helper()
	folder = s.t.TempDir()
	keyFile := filepath.Join(folder, "key")
	if err := os.WriteFile(keyFile, []byte(hex.EncodeToString(bytes.Repeat([]byte{9}, 32))), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.writeCaptureConfig(folder, keyFile)
	key, err := capture.ReadKey(keyFile)
	if err != nil {
		s.t.Fatal(err)
	}
	return folder, key
}

// writeCaptureConfig writes a configuration with captures in a folder, encrypted if keyFile is
// not empty.
func (s *deployment) writeCaptureConfig(folder, keyFile string) {
	s.t.Helper()
	if keyFile != "" {
		keyFile = fmt.Sprintf("key = %q", keyFile)
	}
	var workers strings.Builder
	for i, w := range s.workers {
		fmt.Fprintf(&workers, "  worker \"s-%d\" {\n    address = %q\n  }\n", i, w)
	}
	text := fmt.Sprintf(`name = "n0"
listen = %q
seed = "1f"
settles = true
largest = 6
limits {
  memory_mb = 64
  sockets = 400
}
attempts {
  most = 3
}
plan "mayor" {
  rate = 50000
  burst = 50000
  price = 1
}
class "cuota" {
  aim_ms = 400
  deadline_ms = 2000
  worth = 1
  repeat = "safe"
}
pool "fleet" {
%s}
capture {
  folder = %q
  %s
  warm = true
}
`, s.listen, workers.String(), folder, keyFile)
	s.configFile = filepath.Join(s.tempDir, "config.hcl")
	if err := os.WriteFile(s.configFile, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// replayCapture replays the captures of a folder, and counts their records by kind.
func replayCapture(t *testing.T, folder string, key capture.Key) (*replay.Report, map[capturepb.Kind]int) {
	t.Helper()
	segments, err := capture.FindSegments(folder)
	if err != nil {
		t.Fatal(err)
	}
	openSet := func() *capture.MultiReader {
		set := capture.NewMultiReader(segments, &key)
		t.Cleanup(set.Close)
		return set
	}
	report, err := replay.Run(openSet(), &key, replay.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Differences) > 0 {
		t.Fatalf("the replay differs from the capture: %+v", report.Differences[0])
	}
	kinds := map[capturepb.Kind]int{}
	err = openSet().Each(func(r *capturepb.Record) { kinds[r.GetKind()]++ }, func(err error) {
		var gap *capture.GapError
		if errors.As(err, &gap) {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return report, kinds
}

// TestKilledProcessLeavesReplayableCapture kills a process while it fills a capture block. Its
// run must be replayed up to the lost block, with a note about the missing end. The next
// process recovers the state, and its run must be replayed to the end.
func TestKilledProcessLeavesReplayableCapture(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	folder, key := site.enableCapture()
	first := site.startProcess(true)
	load := site.startTraffic()
	waitUntil(t, "no second block was written", func() bool {
		segments, err := capture.FindSegments(folder)
		return err == nil && len(segments) == 1 && segments[0].Size > 5000
	})
	load.waitServed(t, 20) // of the block that is not written yet
	if err := first.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-first.exited
	second := site.startProcess(true)
	load.waitServed(t, 100)
	close(load.stop)
	load.clients.Wait() // requests to the killed process fail, which is expected here
	second.stop()
	if log := second.log.String(); !strings.Contains(log, "warm start") {
		t.Errorf("the second process logged no warm start:\n%s", log)
	}
	report, kinds := replayCapture(t, folder, key)
	if report.Runs != 2 || !report.Complete || report.Calls < 300 {
		t.Errorf("want 2 complete runs with at least 300 calls, got %+v", report)
	}
	if len(report.Notes) != 1 || !strings.Contains(report.Notes[0], "ends without its end block") {
		t.Errorf("want one note about the missing end block, got %q", report.Notes)
	}
	if kinds[capturepb.Kind_RECOVERED] != 1 {
		t.Errorf("want 1 recovered state, got %d", kinds[capturepb.Kind_RECOVERED])
	}
}

// TestHandoverIsCaptured captures both processes of a handover. Each records the quota draws
// that the other reports, and each run must be replayable by itself.
func TestHandoverIsCaptured(t *testing.T) {
	site := newDeploymentWithWorkers(t, settingsText)
	folder, key := site.enableCapture()
	current := site.startProcess(true)
	load := site.startTraffic()
	load.waitServed(t, 50)
	successor := site.startProcess(true)
	load.waitServed(t, 100)
	current.stop()
	load.waitServed(t, 50)
	load.stopAndCheck(t, 200)
	successor.stop()
	if log := successor.log.String(); !strings.Contains(log, "handover: offered") {
		t.Fatalf("the second process logged no handover:\n%s", log)
	}
	report, kinds := replayCapture(t, folder, key)
	if report.Runs != 2 || !report.Complete || len(report.Notes) > 0 {
		t.Errorf("want 2 complete runs without notes, got %+v", report)
	}
	if kinds[capturepb.Kind_JOINED] != 1 || kinds[capturepb.Kind_RECOVERED] != 1 || kinds[capturepb.Kind_BESIDE] == 0 {
		t.Errorf("want 1 JOINED, 1 RECOVERED and some BESIDE records, got %v", kinds)
	}
}
