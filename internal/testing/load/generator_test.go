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

// startServer starts a server that delays each response by delay(n), where n is the number of
// the request, counted from 0.
func startServer(t *testing.T, delay func(number int) time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for reader := bufio.NewReader(conn); ; {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					number := <-count
					count <- number + 1
					time.Sleep(delay(number))
					if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// testPlan returns a valid plan of 200 requests per second for one second.
func testPlan(target string) Plan {
	return Plan{Targets: []string{target}, RatePerSecond: 200, Duration: time.Second, Customers: 3, TariffPlan: "mayor", Seed: 7, BodyBytes: 10,
		Classes: []Class{{Name: "cuota", Weight: 4, Method: "GET", Deadline: 2 * time.Second, Units: 1},
			{Name: "simulacion", Weight: 1, Method: "POST", Deadline: 2 * time.Second, Units: 1}}}
}

func TestSameSeedGivesSameArrivals(t *testing.T) {
	draw := func(seed uint64, poisson bool) (all []arrival) {
		plan := testPlan("a")
		plan.Seed, plan.Poisson = seed, poisson
		for generator := newArrivalGenerator(&plan); ; {
			next, ok := generator.next()
			if !ok {
				return all
			}
			all = append(all, next)
		}
	}
	first := draw(7, true)
	if diff := cmp.Diff(first, draw(7, true), cmp.AllowUnexported(arrival{})); diff != "" {
		t.Error(diff)
	}
	if cmp.Equal(first, draw(8, true), cmp.AllowUnexported(arrival{})) {
		t.Error("seeds 7 and 8 give the same arrivals")
	}
	if n := len(draw(7, false)); n != 199 {
		t.Errorf("%d arrivals at a constant rate of 200 per second, want 199", n)
	}
	if n := len(first); n < 150 || n > 250 {
		t.Errorf("%d Poisson arrivals at 200 per second, want 150 to 250", n)
	}
}

// TestStalledResponseDoesNotDelayOthers checks that arrivals are open-loop, and that the latency
// of a stalled response is measured from the intended send time.
func TestStalledResponseDoesNotDelayOthers(t *testing.T) {
	const stall = 300 * time.Millisecond
	addr := startServer(t, func(n int) time.Duration {
		if n == 20 {
			return stall
		}
		return 0
	})
	result, err := Run(context.Background(), testPlan(addr))
	if err != nil {
		t.Fatal(err)
	}
	served, slow := 0, 0
	for _, c := range result.Classes {
		served += c.Outcomes[Served]
		for _, bar := range c.Latency.Distribution() {
			if bar.To >= stall.Microseconds() {
				slow += int(bar.Count)
			}
		}
	}
	if served != 199 || slow != 1 {
		t.Errorf("%d served, %d of them after the stall, want 199 and 1", served, slow)
	}
	var output strings.Builder
	if err := result.Write(&output); err != nil || !strings.Contains(output.String(), "cuota") || !strings.Contains(output.String(), "scheduling lag") {
		t.Errorf("%v\n%s", err, output.String())
	}
}

// TestResultReportsGeneratorLag guards against attributing delays of the generator to the
// gatekeeper.
func TestResultReportsGeneratorLag(t *testing.T) {
	plan := testPlan("a")
	result := newResult(&plan)
	for range 1000 {
		result.record(arrival{}, 100*time.Microsecond, time.Millisecond, Served)
	}
	if result.finish(time.Second); result.FellBehind {
		t.Error("Behind is true with a scheduling lag of 0.1 ms")
	}
	for range 5 {
		result.record(arrival{}, 3*time.Millisecond, time.Millisecond, Served)
	}
	if result.finish(time.Second); !result.FellBehind {
		t.Error("Behind is false with a scheduling lag of 3 ms")
	}
}

func TestResultCountsEveryEnd(t *testing.T) {
	texts := []string{"200 OK", "429 Too Many Requests", "503 Service Unavailable", "502 Bad Gateway"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil && n%5 < 4 {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", texts[n%5])
			}
			conn.Close() // the fifth request gets no response
		}
	}()
	plan := testPlan(listener.Addr().String())
	plan.RatePerSecond, plan.Classes = 50, plan.Classes[:1]
	result, err := Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	got := result.Classes[0].Outcomes
	if sum := got[Served] + got[Refused] + got[Failed] + got[NoResponse]; sum != 49 || got[Served] == 0 || got[Refused] < got[Failed] || got[NoResponse] == 0 {
		t.Errorf("ends %v, want 49 in total, Served and Unheard above 0, and Refused not below Failed", got)
	}
}
