package service

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foxwood/capture"
	"foxwood/internal/config"
	"foxwood/internal/replay"
)

// TestAServedDayIsReplayedAndExplained records a gatekeeper on real sockets, with requests
// served, refused and failed, a client that leaves, a list and a configuration that are
// replaced and a counter that answers; the replay decides the same, and the refusal is
// explained by its trace id.
func TestAServedDayIsReplayedAndExplained(t *testing.T) {
	folder := t.TempDir()
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(hex.EncodeToString(bytes.Repeat([]byte{9}, 32))), 0o600); err != nil {
		t.Fatal(err)
	}
	refused := ""
	t.Run("day", func(t *testing.T) {
		addr, got := worker(t, func(n int, s *seen) bool {
			if strings.Contains(s.RequestURI, "simulacion") {
				return say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, s)
			}
			if strings.Contains(s.RequestURI, "hang") {
				return hang(n, s)
			}
			return say(served)(n, s)
		})
		g := open(t, func(c *config.Config) {
			c.Capture, c.Control = &config.Capture{Folder: folder, Key: keyFile}, "127.0.0.1:0"
		}, addr)
		for n := range 4 {
			text := strings.Replace(request("cuota", fmt.Sprintf("basico-%d", n), "", 900), "X-Tier: mayor", "X-Tier: basico", 1)
			text = strings.Replace(text, "00000000b4d65521", "0000000000000077", 1) // a customer of its own
			c := g.dial()
			if res, _ := c.ask(text); res.StatusCode == http.StatusTooManyRequests && refused == "" {
				refused = fmt.Sprintf("basico-%d", n)
			}
		}
		for len(got) > 0 {
			<-got
		}
		leaver := g.dial().send(strings.Replace(request("cuota", "leaver", "", 1900), "class=cuota", "class=hang", 1))
		next(t, got)
		leaver.Close()
		g.ask("simulacion", 1, 900)
		g.setWorker(addr)
		configured(t, whole(`{"name":"n0"}`))
		if err := g.reload(os.Getenv("EDGE_CONFIG")); err != nil {
			t.Fatal(err)
		}
		g.ask("cuota", 2, 900)
		g.on(g.publish)
		if _, text := g.call("/admin/stats"); !strings.Contains(text, "edge.capture_lost:0|c\n") || strings.Contains(text, "edge.capture_records:0|") {
			t.Errorf("the door tells\n%s", text)
		}
	})
	if refused == "" {
		t.Fatal("nothing was refused")
	}
	key, err := capture.ReadKey(keyFile)
	if err != nil {
		t.Fatal(err)
	}
	set := func() *capture.Set {
		segments, err := capture.Find(folder)
		if err != nil {
			t.Fatal(err)
		}
		s := capture.NewSet(segments, &key)
		t.Cleanup(s.Close)
		return s
	}
	report, err := replay.Run(set(), &key, replay.Options{})
	if err != nil || len(report.Differences) > 0 || len(report.Notes) > 0 || report.Decisions < 10 {
		t.Fatalf("%+v, %v", report, err)
	}
	var said bytes.Buffer
	if err := replay.Explain(&said, set(), &key, refused); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{refused, "2 units", "bucket", "refused, to come back after", "beyond its quota"} {
		if !strings.Contains(said.String(), want) {
			t.Errorf("%q is not in\n%s", want, said.String())
		}
	}
	if err := replay.Explain(&said, set(), &key, "nobody"); err == nil {
		t.Error("a request that never was is explained")
	}
}
