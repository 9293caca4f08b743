package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is the stand-in for the platform's list of workers.
type platform struct {
	addr  string
	delay time.Duration

	mu   sync.Mutex
	rows [][]any
}

func (p *platform) serve(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.addr = addr
	go func() { _ = http.Serve(listener, p) }()
	return nil
}

// ServeHTTP implements http.Handler: it answers GET /roster with the whole list.
func (p *platform) ServeHTTP(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"nextToken": nil, "roster": map[string]any{
		"columns": []string{"id", "destination", "address", "zone", "edition", "berths", "state", "coldS_time"}, "rows": p.rows}})
}

// worker is a stand-in for a worker: it serves one request at a time on a connection.
type worker struct {
	index             int // among the workers of its service
	id, service, addr string
	record            *record
	berths            chan struct{} // places for requests at work

	// serve reads what it wants of a request's body, works and answers. It returns false if the connection has to end.
	serve func(w *worker, conn *net.TCPConn, request *http.Request) bool

	mu   sync.Mutex
	runs int // requests that this worker has begun
}

// ledger counts the runs of each try over all workers.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id]
}

func (l *ledger) count(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// addWorkers starts n workers of a service, spread over the zones, and lists them.
func (d *deployment) addWorkers(service string, first, n int, serve func(w *worker, conn *net.TCPConn, request *http.Request) bool) error {
	for i := range n {
		z := d.site.zones[i%len(d.site.zones)]
		w := &worker{index: i, id: fmt.Sprintf("i-%04x", first+i), service: service, addr: net.JoinHostPort(d.host(first+i), fmt.Sprint(portWorker)), record: d.record,
			berths: make(chan struct{}, 2), serve: serve}
		listener, err := net.Listen("tcp", w.addr)
		if err != nil {
			return err
		}
		go w.accept(listener.(*net.TCPListener))
		d.platform.mu.Lock()
		d.platform.rows = append(d.platform.rows, []any{w.id, service, w.addr, z.name, "v1", 2, "open_counter", 0})
		d.platform.mu.Unlock()
	}
	return nil
}

func (w *worker) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go w.serveConn(conn)
	}
}

func (w *worker) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			if !answer(conn, 200, []string{"X-Foxwood-Worker-Id: " + w.id}, "ok") {
				return
			}
			continue
		}
		id := request.Header.Get("X-Foxwood-Try-Id")
		if expected := request.Header.Get("X-Foxwood-Expect-Worker"); expected != "" && expected != w.id {
			answer(conn, 421, []string{"X-Foxwood-Try-Id: " + id, "Connection: close"}, "another worker")
			return
		}
		if !w.serve(w, conn, request) {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body) // reads on, after an early answer
	}
}

// stamp is the postmark of a worker's answer to a try.
func (w *worker) stamp(id string) string { return w.id + "." + id }

// answer writes an answer with a length.
func answer(conn net.Conn, status int, fields []string, body string) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for _, field := range fields {
		text += field + "\r\n"
	}
	_, err := io.WriteString(conn, text+"\r\n"+body)
	return err == nil
}
