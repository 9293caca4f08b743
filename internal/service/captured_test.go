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

// captured makes a site's processes keep captures, and returns the folder and the key.
func (s *site) captured() (folder string, key capture.Key) {
	s.t.Helper()
	folder = s.t.TempDir()
	keyFile := filepath.Join(folder, "key")
	if err := os.WriteFile(keyFile, []byte(hex.EncodeToString(bytes.Repeat([]byte{9}, 32))), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.keepIn(folder, keyFile)
	key, err := capture.ReadKey(keyFile)
	if err != nil {
		s.t.Fatal(err)
	}
	return folder, key
}

// keepIn makes a site's processes keep captures in a folder, by a key file where there is one.
func (s *site) keepIn(folder, keyFile string) {
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
	s.config = filepath.Join(s.tmp, "config.hcl")
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// played replays a folder of captures, and counts its records by kind.
func played(t *testing.T, folder string, key capture.Key) (*replay.Report, map[capturepb.Kind]int) {
	t.Helper()
	segments, err := capture.Find(folder)
	if err != nil {
		t.Fatal(err)
	}
	open := func() *capture.Set {
		set := capture.NewSet(segments, &key)
		t.Cleanup(set.Close)
		return set
	}
	report, err := replay.Run(open(), &key, replay.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Differences) > 0 {
		t.Fatalf("differs: %+v", report.Differences[0])
	}
	kinds := map[capturepb.Kind]int{}
	err = open().Each(func(r *capturepb.Record) { kinds[r.GetKind()]++ }, func(err error) {
		var gap *capture.Gap
		if errors.As(err, &gap) {
			t.Fatal(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return report, kinds
}

// TestAProcessKilledWithinABlockLeavesBothLives: the killed life is played up to what was
// lost, which is said; the next goes on from it, and is played to its end.
func TestAProcessKilledWithinABlockLeavesBothLives(t *testing.T) {
	s := easy(t, settingsText)
	folder, key := s.captured()
	first := s.run(true)
	load := s.traffic()
	becomes(t, "no second block was written", func() bool {
		segments, err := capture.Find(folder)
		return err == nil && len(segments) == 1 && segments[0].Size > 5000
	})
	load.more(t, 20) // of the block under way
	if err := first.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-first.ended
	second := s.run(true)
	load.more(t, 100)
	close(load.stop)
	load.all.Wait() // who met the dead one says so, and that is no fault here
	second.stop()
	if log := second.log.String(); !strings.Contains(log, "warm start") {
		t.Errorf("no warm start:\n%s", log)
	}
	report, kinds := played(t, folder, key)
	if report.Lives != 2 || !report.Ended || report.Calls < 300 {
		t.Errorf("%+v", report)
	}
	if len(report.Notes) != 1 || !strings.Contains(report.Notes[0], "ends without its end block") {
		t.Errorf("notes: %q", report.Notes)
	}
	if kinds[capturepb.Kind_RECOVERED] != 1 {
		t.Errorf("%d states were taken over", kinds[capturepb.Kind_RECOVERED])
	}
}

// TestAReplacementIsCaptured on both sides: each is told of the other's draws, and each
// life is played by itself.
func TestAReplacementIsCaptured(t *testing.T) {
	s := easy(t, settingsText)
	folder, key := s.captured()
	now := s.run(true)
	load := s.traffic()
	load.more(t, 50)
	heir := s.run(true)
	load.more(t, 100)
	now.stop()
	load.more(t, 50)
	load.end(t, 200)
	heir.stop()
	if log := heir.log.String(); !strings.Contains(log, "handover: offered") {
		t.Fatalf("nothing was handed over:\n%s", log)
	}
	report, kinds := played(t, folder, key)
	if report.Lives != 2 || !report.Ended || len(report.Notes) > 0 {
		t.Errorf("%+v", report)
	}
	if kinds[capturepb.Kind_JOINED] != 1 || kinds[capturepb.Kind_RECOVERED] != 1 || kinds[capturepb.Kind_BESIDE] == 0 {
		t.Errorf("records: %v", kinds)
	}
}
