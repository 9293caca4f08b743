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
	"foxwood/internal/config"
	"foxwood/internal/emulator"
)

var keep = flag.String("keep", "", "folder to keep captures of past failures in, made anew")

// TestKeepPastFailures plays what has gone wrong once before the emulator's workers, and
// keeps the captures that internal/replay plays again:
//
//	go test ./internal/service -run KeepPastFailures -keep ../replay/testdata/kept
func TestKeepPastFailures(t *testing.T) {
	if *keep == "" {
		t.Skip("captures are kept by -keep only")
	}
	for name, play := range map[string]func(t *testing.T, folder string){
		"ranks-lost-at-sighup":  ranksLost,
		"counter-late-and-lost": counterLate,
		"workers-that-fail":     workersFail,
		"large-bodies":          largeBodies,
		"killed-within-a-block": killedWithinABlock,
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			t.Run("play", func(t *testing.T) { play(t, folder) })
			to := filepath.Join(*keep, name)
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

// emulated starts workers and a gatekeeper that keeps a capture before them.
func emulated(t *testing.T, folder string, n int, conf emulator.Config, change func(*config.Config)) *gate {
	t.Helper()
	conf.Cores = 4
	var addrs []string
	for range n {
		w, err := emulator.Start("127.0.0.1:0", conf)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(w.Stop)
		addrs = append(addrs, w.Addr())
	}
	return open(t, func(c *config.Config) {
		c.Capture = &config.Capture{Folder: folder}
		if change != nil {
			change(c)
		}
	}, addrs...)
}

// ranksLost: a request is turned away by its worker after classes of one worth have taken
// the place of those it came under. It was held at a rank that there was no more: a crash.
func ranksLost(t *testing.T, folder string) {
	came, release := make(chan bool, 10), make(chan bool)
	g := emulated(t, folder, 1, emulator.Config{Fault: func(a emulator.Arrival) emulator.Fault {
		if came <- true; a.N == 0 {
			<-release
			return emulator.TurnAway
		}
		return emulator.None
	}}, nil)
	c := g.dial().send(request("cuota", "s-1", "", 1900))
	next(t, came)
	done := make(chan bool)
	g.loop.Post(func() {
		classes := append(g.set.Classes[:0:0], g.set.Classes...)
		for i := range classes {
			classes[i].Worth = 1
		}
		g.core.SetClasses(classes)
		g.platform.Replace(classes, g.names.Classes)
		done <- true
	})
	next(t, done)
	release <- true
	c.get()
	g.ask("cuota", 2, 900)
}

// counterLate: totals that come after their calls' time, in their order, and then none.
func counterLate(t *testing.T, folder string) {
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
	g := emulated(t, folder, 2, emulator.Config{Default: emulator.Service{Mean: 5 * time.Millisecond}}, func(c *config.Config) {
		c.Counter, c.Settings = counter, counted("30000")
	})
	for i := range 30 {
		c := g.dial()
		c.ask(strings.Replace(request("cuota", fmt.Sprintf("c-%d", i), "", 900), "X-Tier: mayor", "X-Tier: basico", 1))
		c.Close()
	}
}

// workersFail: resets before and after a request ran, silence, 500, noise and a second copy.
func workersFail(t *testing.T, folder string) {
	faults := []emulator.Fault{emulator.None, emulator.ResetAfter, emulator.ResetBefore, emulator.None, emulator.ErrorAfter,
		emulator.Stall, emulator.NoiseAfter, emulator.TwiceAfter, emulator.TurnAway, emulator.CloseAfter}
	g := emulated(t, folder, 3, emulator.Config{Window: time.Second, Fault: func(a emulator.Arrival) emulator.Fault { return faults[a.N%len(faults)] }}, nil)
	for round := range 4 {
		g.together("cuota", round*20, 6, 600)
		g.together("simulacion", round*20+10, 4, 600)
	}
}

// largeBodies: some that come whole, one that stops, one whose client leaves. The emulator's
// workers answer before a body has come, so these are others.
func largeBodies(t *testing.T, folder string) {
	addr, _ := worker(t, say(served))
	g := open(t, func(c *config.Config) { c.Capture = &config.Capture{Folder: folder} }, addr)
	for _, size := range []int{70 << 10, 1 << 20} {
		c := g.dial()
		go func() { _, _ = c.Write(heavy(fmt.Sprint(size), pattern(size), 0)) }()
		c.get()
	}
	stops := g.dial()
	_, _ = stops.Write(heavy("7c2d", pattern(1<<20), 0)[:300<<10])
	leaves := g.dial()
	_, _ = leaves.Write(heavy("7c2e", pattern(1<<20), 0)[:200<<10])
	leaves.Close()
	if res, _ := stops.get(); res.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d", res.StatusCode)
	}
}

// killedWithinABlock: two lives, the second of which goes on from the first.
func killedWithinABlock(t *testing.T, folder string) {
	s := easy(t, settingsText)
	s.keepIn(folder, "")
	first := s.run(true)
	ask := func(n int) {
		for range n {
			c, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = c.Write([]byte(cuota("mayor", 900)))
			_, _ = c.Read(make([]byte, 4096))
			c.Close()
		}
	}
	becomes(t, "no second block was written", func() bool {
		ask(5)
		segments, err := capture.Find(folder)
		return err == nil && len(segments) == 1 && segments[0].Size > 1000
	})
	ask(5)
	if err := first.Process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	<-first.ended
	second := s.run(true)
	ask(10)
	second.stop()
}
