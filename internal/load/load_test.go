package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// server answers every request after wait of its number, counted from 0.
func server(t *testing.T, wait func(n int) time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := <-count
					count <- n + 1
					time.Sleep(wait(n))
					if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func plan(target string) Plan {
	return Plan{Targets: []string{target}, Rate: 200, For: time.Second, Customers: 3, PlanName: "mayor", Seed: 7, Body: 10,
		Classes: []Class{{Name: "cuota", Part: 4, Method: "GET", Deadline: 2 * time.Second, Units: 1},
			{Name: "simulacion", Part: 1, Method: "POST", Deadline: 2 * time.Second, Units: 1}}}
}

func TestOneSeedGivesOneSequence(t *testing.T) {
	draw := func(seed uint64, poisson bool) (all []arrival) {
		p := plan("a")
		p.Seed, p.Poisson = seed, poisson
		for a := newArrivals(&p); ; {
			x, ok := a.next()
			if !ok {
				return all
			}
			all = append(all, x)
		}
	}
	one := draw(7, true)
	if diff := cmp.Diff(one, draw(7, true), cmp.AllowUnexported(arrival{})); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(one, draw(8, true), cmp.AllowUnexported(arrival{})) {
		t.Error("another seed gives the same")
	}
	if n := len(draw(7, false)); n != 199 {
		t.Errorf("%d at a constant rate of 200 a second", n)
	}
	if n := len(one); n < 150 || n > 250 {
		t.Errorf("%d Poisson arrivals at 200 a second", n)
	}
}

// TestALateAnswerDelaysNobodyElse: arrivals are open-loop, and a stalled answer counts in
// full, from the time at which its request was meant to be sent.
func TestALateAnswerDelaysNobodyElse(t *testing.T) {
	const stall = 300 * time.Millisecond
	addr := server(t, func(n int) time.Duration {
		if n == 20 {
			return stall
		}
		return 0
	})
	r, err := Run(context.Background(), plan(addr))
	if err != nil {
		t.Fatal(err)
	}
	served, slow := 0, 0
	for _, c := range r.Classes {
		served += c.Ends[Served]
		for _, bar := range c.Latency.Distribution() {
			if bar.To >= stall.Microseconds() {
				slow += int(bar.Count)
			}
		}
	}
	if served != 199 || slow != 1 {
		t.Errorf("%d served, %d of them after the stall, want 199 and 1", served, slow)
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil || !strings.Contains(b.String(), "cuota") || !strings.Contains(b.String(), "scheduling lag") {
		t.Errorf("%v\n%s", err, b.String())
	}
}

// TestARunSaysThatItFellBehind guards against figures that are the generator's own being
// passed off as the gatekeeper's.
func TestARunSaysThatItFellBehind(t *testing.T) {
	p := plan("a")
	r := newResult(&p)
	for range 1000 {
		r.add(arrival{}, 100*time.Microsecond, time.Millisecond, Served)
	}
	if r.finish(time.Second); r.Behind {
		t.Error("behind with a lag of 0.1 ms")
	}
	for range 5 {
		r.add(arrival{}, 3*time.Millisecond, time.Millisecond, Served)
	}
	if r.finish(time.Second); !r.Behind {
		t.Error("not behind with a lag of 3 ms")
	}
}

func TestEveryEndIsCounted(t *testing.T) {
	texts := []string{"200 OK", "429 Too Many Requests", "503 Service Unavailable", "502 Bad Gateway"}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && n%5 < 4 {
				fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", texts[n%5])
			}
			c.Close() // the fifth gets nothing
		}
	}()
	p := plan(ln.Addr().String())
	p.Rate, p.Classes = 50, p.Classes[:1]
	r, err := Run(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	got := r.Classes[0].Ends
	if sum := got[Served] + got[Refused] + got[Failed] + got[Unheard]; sum != 49 || got[Served] == 0 || got[Refused] < got[Failed] || got[Unheard] == 0 {
		t.Errorf("%v", got)
	}
}
