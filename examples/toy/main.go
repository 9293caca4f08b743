// Command toy is a calculator that a gatekeeper can stand before: it answers
// /v1/cuota and /v1/simulacion, and drops repeats of a key for a second.
package main

import (
	"flag"
	"fmt"
	"log"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const window = time.Second

// calculator is one worker.
type calculator struct {
	work     time.Duration
	inflight atomic.Int64

	mu   sync.Mutex
	keys map[string]time.Time
}

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "address to serve at")
	work := flag.Duration("work", 50*time.Millisecond, "time that an answer takes")
	flag.Parse()
	c := &calculator{work: *work, keys: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/cuota", c.cuota)
	mux.HandleFunc("POST /v1/simulacion", c.simulacion)
	log.Printf("calculator at %s", *listen)
	log.Fatal(http.ListenAndServe(*listen, mux))
}

// report adds what a worker tells of itself to an answer.
func (c *calculator) report(w http.ResponseWriter, units int) {
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT latency_ms=%d, inflight=%d", c.work.Milliseconds(), c.inflight.Load()))
	w.Header().Set("X-Cost-Units", strconv.Itoa(units))
}

func (c *calculator) cuota(w http.ResponseWriter, r *http.Request) {
	defer c.busy()()
	monto, err1 := strconv.ParseFloat(r.FormValue("monto"), 64)
	meses, err2 := strconv.Atoi(r.FormValue("meses"))
	if err1 != nil || err2 != nil || meses < 1 {
		http.Error(w, "monto and meses are numbers", http.StatusUnprocessableEntity)
		return
	}
	const monthly = 0.004
	c.report(w, 1+meses/120)
	fmt.Fprintf(w, "%.2f\n", monto*monthly/(1-math.Pow(1+monthly, -float64(meses))))
}

func (c *calculator) simulacion(w http.ResponseWriter, r *http.Request) {
	defer c.busy()()
	key := r.Header.Get("Idempotency-Key")
	c.mu.Lock()
	repeat := time.Since(c.keys[key]) < window
	if !repeat {
		c.keys[key] = time.Now()
	}
	c.mu.Unlock()
	c.report(w, 3)
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "saved, repeat %v\n", repeat)
}

// busy is the work of one request.
func (c *calculator) busy() func() {
	c.inflight.Add(1)
	time.Sleep(c.work)
	return func() { c.inflight.Add(-1) }
}
