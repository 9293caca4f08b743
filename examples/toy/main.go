// Command toy is an example worker for trying a gatekeeper: a loan calculator that serves
// /v1/cuota (the monthly instalment) and /v1/simulacion, and detects repeats of an
// idempotency key for one second.
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

// repeatWindow is how long an idempotency key is remembered.
const repeatWindow = time.Second

// calculator is the worker.
type calculator struct {
	workTime time.Duration // processing time of a request
	inflight atomic.Int64

	mu   sync.Mutex
	keys map[string]time.Time // idempotency keys with the time of their last execution
}

func main() {
	listen := flag.String("listen", "127.0.0.1:9001", "address to listen on")
	workTime := flag.Duration("work", 50*time.Millisecond, "processing time of a request")
	flag.Parse()
	calc := &calculator{workTime: *workTime, keys: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/cuota", calc.cuota)
	mux.HandleFunc("POST /v1/simulacion", calc.simulacion)
	log.Printf("calculator at %s", *listen)
	log.Fatal(http.ListenAndServe(*listen, mux))
}

// setLoadHeaders sets the response headers with the worker's load and the cost of the request.
func (c *calculator) setLoadHeaders(w http.ResponseWriter, units int) {
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("TEXT latency_ms=%d, inflight=%d", c.workTime.Milliseconds(), c.inflight.Load()))
	w.Header().Set("X-Cost-Units", strconv.Itoa(units))
}

// cuota answers with the monthly instalment of a loan.
func (c *calculator) cuota(w http.ResponseWriter, r *http.Request) {
	defer c.simulateWork()()
	amount, amountErr := strconv.ParseFloat(r.FormValue("monto"), 64)
	months, monthsErr := strconv.Atoi(r.FormValue("meses"))
	if amountErr != nil || monthsErr != nil || months < 1 {
		http.Error(w, "monto and meses are numbers", http.StatusUnprocessableEntity)
		return
	}
	const monthly = 0.004 // interest rate per month
	c.setLoadHeaders(w, 1+months/120)
	fmt.Fprintf(w, "%.2f\n", amount*monthly/(1-math.Pow(1+monthly, -float64(months))))
}

// simulacion pretends to save a simulation, and reports whether the key is a repeat.
func (c *calculator) simulacion(w http.ResponseWriter, r *http.Request) {
	defer c.simulateWork()()
	key := r.Header.Get("Idempotency-Key")
	c.mu.Lock()
	repeat := time.Since(c.keys[key]) < repeatWindow
	if !repeat {
		c.keys[key] = time.Now()
	}
	c.mu.Unlock()
	c.setLoadHeaders(w, 3)
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, "saved, repeat %v\n", repeat)
}

// simulateWork simulates the work of a request. The returned function marks the request as finished.
func (c *calculator) simulateWork() func() {
	c.inflight.Add(1)
	time.Sleep(c.workTime)
	return func() { c.inflight.Add(-1) }
}
