package service

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"foxwood/capture"
	"foxwood/internal/gateway/config"
	"foxwood/internal/testing/emulator"
)

var keepFolder = flag.String("keep", "", "folder to write captures of past failures to; its contents are replaced")

// TestKeepPastFailures reproduces failures of the past with emulated workers, and writes the
// captures that the regression test in internal/replay replays:
//
//	go test ./internal/gateway/service -run KeepPastFailures -keep ../../replay/testdata/kept
func TestKeepPastFailures(t *testing.T) {
	if *keepFolder == "" {
		t.Skip("captures are written with -keep only")
	}
	for name, play := range map[string]func(t *testing.T, folder string){
		"ranks-lost-at-sighup":  classesReplacedWhileHeld,
		"counter-late-and-lost": counterSlowThenSilent,
		"workers-that-fail":     workersFailing,
		"large-bodies":          largeBodies,
		"killed-within-a-block": killedDuringBlock,
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			t.Run("play", func(t *testing.T) { play(t, folder) })
			to := filepath.Join(*keepFolder, name)
			if err := os.RemoveAll(to); err != nil {
				t.Fatal(err)
			}
			if err := os.MkdirAll(to, 0o755); err != nil {
				t.Fatal(err)
			}
			files, err := filepath.Glob(filepath.Join(folder, "*.fcap"))
			if err != nil || len(files) == 0 {
				t.Fatal(files, err)
			}
			for _, f := range files {
				text, err := os.ReadFile(f)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(filepath.Join(to, filepath.Base(f)), text, 0o644); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// startEmulated starts emulated workers and a gatekeeper in front of them that writes a capture.
func startEmulated(t *testing.T, folder string, workers int, workerConfig emulator.Config, change func(*config.Config)) *testGateway {
	t.Helper()
	workerConfig.Cores = 4
	var addrs []string
	for range workers {
		emulatedWorker, err := emulator.StartWorker("127.0.0.1:0", workerConfig)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(emulatedWorker.Stop)
		addrs = append(addrs, emulatedWorker.Addr())
	}
	return startGateway(t, func(c *config.Config) {
		c.Capture = &config.Capture{Dir: folder}
		if change != nil {
			change(c)
		}
	}, addrs...)
}

// classesReplacedWhileHeld rejects a request at its worker after the classes have been replaced
// by classes of one single worth. The request was queued at a priority rank that no longer
// existed, which once crashed the gatekeeper.
func classesReplacedWhileHeld(t *testing.T, folder string) {
	arrived, release := make(chan bool, 10), make(chan bool)
	gateway := startEmulated(t, folder, 1, emulator.Config{Fault: func(a emulator.Arrival) emulator.Fault {
		if arrived <- true; a.Sequence == 0 {
			<-release
			return emulator.Reject
		}
		return emulator.None
	}}, nil)
	conn := gateway.dial().send(classRequest("cuota", "s-1", "", 1900))
	receive(t, arrived)
	done := make(chan bool)
	gateway.loop.Post(func() {
		classes := append(gateway.policySettings.Classes[:0:0], gateway.policySettings.Classes...)
		for i := range classes {
			classes[i].Value = 1
		}
		gateway.core.SetClasses(classes)
		gateway.platform.ReplaceClasses(classes, gateway.names.Classes)
		done <- true
	})
	receive(t, done)
	release <- true
	conn.readResponse()
	gateway.ask("cuota", 2, 900)
}

// counterSlowThenSilent has a counter that answers in order, later and later until it misses
// the calls' time limit, and then not at all.
func counterSlowThenSilent(t *testing.T, folder string) {
	counter := listen(t, func(c net.Conn) {
		for n, buf := 1, make([]byte, 4096); ; n++ {
			if _, err := c.Read(buf); err != nil || n > 12 {
				return
			}
			time.Sleep(time.Duration(n) * 8 * time.Millisecond)
			text := fmt.Sprint(2 * n)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	})
	gateway := startEmulated(t, folder, 2, emulator.Config{Default: emulator.ServiceTime{Mean: 5 * time.Millisecond}}, func(c *config.Config) {
		c.Counter, c.Settings = counter, settingsWithCounter("30000")
	})
	for i := range 30 {
		conn := gateway.dial()
		conn.ask(strings.Replace(classRequest("cuota", fmt.Sprintf("c-%d", i), "", 900), "X-Tier: mayor", "X-Tier: basico", 1))
		conn.Close()
	}
}

// workersFailing has workers that reset connections before and after a request ran, stall,
// answer 500, send noise and send a response twice.
func workersFailing(t *testing.T, folder string) {
	faults := []emulator.Fault{emulator.None, emulator.ResetAfter, emulator.ResetBefore, emulator.None, emulator.ErrorAfter,
		emulator.Stall, emulator.GarbageAfter, emulator.DuplicateAfter, emulator.Reject, emulator.CloseAfter}
	gateway := startEmulated(t, folder, 3, emulator.Config{RepeatWindow: time.Second, Fault: func(a emulator.Arrival) emulator.Fault { return faults[a.Sequence%len(faults)] }}, nil)
	for round := range 4 {
		gateway.askConcurrently("cuota", round*20, 6, 600)
		gateway.askConcurrently("simulacion", round*20+10, 4, 600)
	}
}

// largeBodies sends complete large bodies, one that stalls and one whose client disconnects. It
// uses scripted workers, because emulated ones respond before the body has arrived.
func largeBodies(t *testing.T, folder string) {
	addr, _ := startWorker(t, respondWith(okResponse))
	gateway := startGateway(t, func(c *config.Config) { c.Capture = &config.Capture{Dir: folder} }, addr)
	for _, size := range []int{70 << 10, 1 << 20} {
		conn := gateway.dial()
		go func() { _, _ = conn.Write(requestWithBody(fmt.Sprint(size), testBody(size), 0)) }()
		conn.readResponse()
	}
	stalled := gateway.dial()
	_, _ = stalled.Write(requestWithBody("7c2d", testBody(1<<20), 0)[:300<<10])
	disconnecting := gateway.dial()
	_, _ = disconnecting.Write(requestWithBody("7c2e", testBody(1<<20), 0)[:200<<10])
	disconnecting.Close()
	if res, _ := stalled.readResponse(); res.StatusCode != http.StatusRequestTimeout {
		t.Errorf("a stalled body got status %d, want 408", res.StatusCode)
	}
}

// killedDuringBlock kills a process while it fills a capture block; a second process continues
// from its state.
func killedDuringBlock(t *testing.T, folder string) {
	site := newDeploymentWithWorkers(t, settingsText)
	site.writeCaptureConfig(folder, "")
	first := site.startProcess(true)
	ask := func(n int) {
		for range n {
			conn, err := net.Dial("tcp", site.listen)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte(cuotaRequest("mayor", 900)))
			_, _ = conn.Read(make([]byte, 4096))
			conn.Close()
		}
	}
	waitUntil(t, "no second block was written", func() bool {
		ask(5)
		segments, err := capture.FindSegments(folder)
		return err == nil && len(segments) == 1 && segments[0].Size > 1000
	})
	ask(5)
	if err := first.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-first.exited
	second := site.startProcess(true)
	ask(10)
	second.stop()
}
