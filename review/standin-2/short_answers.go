package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case. deadlineS of the route is the operator's; clients wait longer, as their X-Foxwood-Time-Left tells.
const (
	routeDeadline  = 1.0 // seconds
	clientPatience = 2 * time.Second
	finalWithin    = 0.5 // seconds past deadlineS within which the rule wants the final answer
	pieceBytes     = 10_000
	pieces         = 20 // of an answer
	pieceEvery     = 5 * time.Millisecond
)

// pageWorker is a worker with long answers, which it sends in pieces.
type pageWorker struct {
	id      string
	rec     *protocol
	garbles func() bool // whether the worker is in trouble now
	berths  chan struct{}
	runs    atomic.Int64 // while it is in trouble
}

func (f *fleet) addPageWorker(service string, number int, garbles func() bool) error {
	w := &pageWorker{id: fmt.Sprintf("i-%04d", number), rec: f.rec, garbles: garbles, berths: make(chan struct{}, 2)}
	addr := fmt.Sprintf("%s.%d:%d", f.net, 100+number, workerPort)
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%w: %v", errSetup, err)
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	f.platform.list(w.id, service, addr, zoneNames[number%len(zoneNames)], 2)
	return nil
}

func (w *pageWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	page := strings.Repeat("x", pieceBytes)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Foxwood-Worker-Id: %s\r\n\r\nok", w.id)
			continue
		}
		try := request.Header.Get("X-Foxwood-Try-Id")
		if expected := request.Header.Get("X-Foxwood-Expect-Worker"); expected != "" && expected != w.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Not-Delivered: 1\r\n\r\n", try)
			continue
		}
		select {
		case w.berths <- struct{}{}:
		case <-time.After(300 * time.Millisecond): // its queue
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Not-Delivered: full\r\nX-Foxwood-Worker-Load: 2,8,2\r\n\r\n", try)
			continue
		}
		err = w.answer(conn, try, page)
		<-w.berths
		if err != nil {
			return
		}
	}
}

// answer works on a request and sends the answer in pieces. In trouble the worker cuts one answer in 34 short: it sends half of the bytes that it
// has announced, and goes on as if that were all.
func (w *pageWorker) answer(conn net.Conn, try, page string) error {
	count := pieces
	if w.garbles() && w.runs.Add(1)%34 == 17 {
		count = pieces / 2
		w.rec.notef("trouble: %s runs %s and cuts the answer short", w.id, try)
	} else {
		w.rec.notef("%s runs %s", w.id, try)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Postmark: %s.%s\r\nX-Foxwood-Worker-Load: 1,0,2\r\n\r\n",
		pieces*pieceBytes, try, w.id, try); err != nil {
		return err
	}
	for range count {
		if _, err := io.WriteString(conn, page); err != nil {
			return err
		}
		time.Sleep(pieceEvery)
	}
	return nil
}

// pageTry is how a try ended for its client.
type pageTry struct {
	status, got int
	ended       time.Duration // since its last byte was sent; the end of the connection counts as an end
	gaveUp      bool          // the client did
}

// askPage sends a try and reads until the answer or the connection ends, or the client gives up.
func (f *fleet) askPage(front *host, id string) (p pageTry) {
	conn, err := net.DialTimeout("tcp", front.addr(clientPort), time.Second)
	if err != nil {
		return p
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "GET /page/%s HTTP/1.1\r\nHost: pages.example\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\n\r\n", id, id, clientPatience.Milliseconds()); err != nil {
		return p
	}
	began := time.Now()
	_ = conn.SetDeadline(began.Add(clientPatience))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "GET"})
	if err == nil {
		p.status = response.StatusCode
		var n int64
		n, err = io.Copy(io.Discard, response.Body)
		p.got = int(n)
	}
	p.ended = time.Since(began)
	timeout, ok := err.(net.Error)
	p.gaveUp = ok && timeout.Timeout()
	return p
}

// shortAnswers plays workers that cut long answers short. It tells whether requests are left without a final answer past their route's deadlineS.
func shortAnswers(recordPath string, trouble bool) (bool, error) {
	f, err := newFleet(recordPath, 3, 4)
	if err != nil {
		return false, err
	}
	defer f.shutDown()
	var inTrouble atomic.Bool
	const workers, troubled = 16, 9 // 0.56 of them
	for i := range workers {
		if err := f.addPageWorker("port-lookup", i, func() bool { return i < troubled && inTrouble.Load() }); err != nil {
			return false, err
		}
	}
	if err := f.launchAll(); err != nil {
		return false, err
	}
	t := newTimetable(1)
	t.service("port-lookup")
	t.route("r-pages", "pages.example", "/page/", "safe", routeDeadline, 0.3, 0, 2, "port-lookup")
	if err := f.put(t); err != nil {
		return false, err
	}
	for _, h := range f.fronts {
		if err := f.awaitReady(h, 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(6 * time.Second) // all are in touch

	var all sync.WaitGroup
	var mu sync.Mutex
	asked, longer, unanswered := 0, 0, 0
	const length, perSecond = 15 * time.Second, 220
	began := time.Now()
	if trouble {
		all.Go(func() { // garble: 0.56 of the workers, 0.029 of their answers, for 5 s
			time.Sleep(5 * time.Second)
			f.rec.notef("trouble: %d of %d workers cut one answer in 34 short, for 5 s", troubled, workers)
			inTrouble.Store(true)
			time.Sleep(5 * time.Second)
			inTrouble.Store(false)
			f.rec.notef("trouble: over")
		})
	}
	for i := 0; time.Since(began) < length; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
		front, id := f.fronts[i%len(f.fronts)], fmt.Sprintf("%016x", 0x517e0000+i)
		all.Go(func() {
			f.rec.notef("try %s at %s", id, front.name)
			p := f.askPage(front, id)
			f.rec.notef("try %s: status %d, %d bytes of the body, client gave up %t, after %.3f s", id, p.status, p.got, p.gaveUp, p.ended.Seconds())
			mu.Lock()
			defer mu.Unlock()
			asked++
			if p.ended.Seconds() > routeDeadline {
				longer++
			}
			if p.ended.Seconds() > routeDeadline+finalWithin {
				unanswered++
				f.rec.notef("CONFIG: try %s has no final answer %.1f s after its route's deadlineS", id, finalWithin)
			}
		})
	}
	all.Wait()
	f.rec.notef("CONFIG: of %d requests %d lasted longer than their route's deadlineS, %d of them had no final answer %.1f s after it", asked, longer, unanswered, finalWithin)
	return unanswered >= 8 && 4*unanswered > longer, nil
}
