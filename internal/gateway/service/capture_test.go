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
	"foxwood/internal/gateway/config"
	"foxwood/internal/replay"
)

// TestCaptureIsReplayedAndExplained captures a gatekeeper on real sockets: requests that are
// served, refused and failed, a client that disconnects, a new worker list and a reload. The
// replay must reach the same decisions, and the refusal must be explained by its trace id.
func TestCaptureIsReplayedAndExplained(t *testing.T) {
	folder := t.TempDir()
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(hex.EncodeToString(bytes.Repeat([]byte{9}, 32))), 0o600); err != nil {
		t.Fatal(err)
	}
	refused := ""
	t.Run("day", func(t *testing.T) {
		addr, got := startWorker(t, func(n int, s *workerRequest) bool {
			if strings.Contains(s.RequestURI, "simulacion") {
				return respondWith("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, s)
			}
			if strings.Contains(s.RequestURI, "hang") {
				return neverRespond(n, s)
			}
			return respondWith(okResponse)(n, s)
		})
		gateway := startGateway(t, func(c *config.Config) {
			c.Capture, c.AdminAddress = &config.Capture{Dir: folder, KeyFile: keyFile}, "127.0.0.1:0"
		}, addr)
		for n := range 4 {
			text := strings.Replace(classRequest("cuota", fmt.Sprintf("basico-%d", n), "", 900), "X-Tier: mayor", "X-Tier: basico", 1)
			text = strings.Replace(text, "00000000b4d65521", "0000000000000077", 1) // another customer than the one of the other requests
			conn := gateway.dial()
			if res, _ := conn.ask(text); res.StatusCode == http.StatusTooManyRequests && refused == "" {
				refused = fmt.Sprintf("basico-%d", n)
			}
		}
		for len(got) > 0 {
			<-got
		}
		disconnecting := gateway.dial().send(strings.Replace(classRequest("cuota", "leaver", "", 1900), "class=cuota", "class=hang", 1))
		receive(t, got)
		disconnecting.Close()
		gateway.ask("simulacion", 1, 900)
		gateway.setOnlyWorker(addr)
		writeConfigFile(t, withSettings(`{"name":"n0"}`))
		if err := gateway.reload(os.Getenv("EDGE_CONFIG")); err != nil {
			t.Fatal(err)
		}
		gateway.ask("cuota", 2, 900)
		gateway.runOnLoop(gateway.publishStats)
		if _, text := gateway.adminGet("/admin/stats"); !strings.Contains(text, "edge.capture_lost:0|c\n") || strings.Contains(text, "edge.capture_records:0|") {
			t.Errorf("/admin/stats must have capture records and none lost, got\n%s", text)
		}
	})
	if refused == "" {
		t.Fatal("no request was refused for its quota")
	}
	key, err := capture.ReadKey(keyFile)
	if err != nil {
		t.Fatal(err)
	}
	set := func() *capture.MultiReader {
		segments, err := capture.FindSegments(folder)
		if err != nil {
			t.Fatal(err)
		}
		s := capture.NewMultiReader(segments, &key)
		t.Cleanup(s.Close)
		return s
	}
	report, err := replay.Run(set(), &key, replay.Options{})
	if err != nil || len(report.Differences) > 0 || len(report.Notes) > 0 || report.Decisions < 10 {
		t.Fatalf("replay: want no difference, no note and at least 10 decisions, got %+v, %v", report, err)
	}
	var explanation bytes.Buffer
	if err := replay.Explain(&explanation, set(), &key, refused); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{refused, "2 units", "bucket", "refused, to come back after", "beyond its quota"} {
		if !strings.Contains(explanation.String(), want) {
			t.Errorf("%q is missing in the explanation\n%s", want, explanation.String())
		}
	}
	if err := replay.Explain(&explanation, set(), &key, "nobody"); err == nil {
		t.Error("Explain accepts a trace id that was never captured")
	}
}
