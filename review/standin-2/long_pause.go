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

// The figures of the case.
const (
	reportDeadline = 15.0                    // seconds, the route's deadlineS
	reportPause    = 9500 * time.Millisecond // of a worker inside an answer
	reportBytes    = 100_000
	editionS       = 3.0
	usedAtMost     = 0.7 // of a request's time, for the rule
)

// reportWorker is a sound worker: it sends half of a long answer, works on for the rest and sends that.
type reportWorker struct {
	id  string
	rec *protocol
}

func (w *reportWorker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/health" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Foxwood-Worker-Id: %s\r\n\r\nok", w.id)
			continue
		}
		try := request.Header.Get("X-Foxwood-Try-Id")
		size, pause := 20, time.Duration(0)
		if strings.HasPrefix(request.URL.Path, "/report/") {
			size, pause = reportBytes, reportPause
		}
		w.rec.notef("%s runs %s %s", w.id, request.URL.Path, try)
		body := strings.Repeat("y", size)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Postmark: %s.%s\r\n\r\n%s", size, try, w.id, try, body[:size/2]); err != nil {
			return
		}
		if pause > 0 { // at work; a connection that ends is noticed
			_ = conn.SetReadDeadline(time.Now().Add(pause))
			_, err := reader.Peek(1)
			_ = conn.SetReadDeadline(time.Time{})
			if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
				w.rec.notef("%s: the connection of %s ended while it was at work on it: %v", w.id, try, err)
				return
			}
		}
		if _, err := io.WriteString(conn, body[size/2:]); err != nil {
			return
		}
	}
}

// keptCaller is a client with a kept connection.
type keptCaller struct {
	front  *host
	conn   net.Conn
	reader *bufio.Reader
}

// post sends a try and reads the answer; whole tells whether it came whole, and gaveUp whether the client's time was over.
func (c *keptCaller) post(path, id string, left time.Duration) (status, got int, whole, gaveUp bool, err error) {
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.front.addr(clientPort), time.Second); err != nil {
			c.conn = nil
			return 0, 0, false, false, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(left))
	defer func() {
		timeout, ok := err.(net.Error)
		if gaveUp = ok && timeout.Timeout(); err != nil {
			_ = c.conn.Close()
			c.conn = nil
		}
	}()
	if _, err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: reports.example\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Time-Left: %d\r\nContent-Length: 2\r\n\r\n{}", path, id, left.Milliseconds()); err != nil {
		return 0, 0, false, false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		return 0, 0, false, false, err
	}
	n, err := io.Copy(io.Discard, response.Body)
	return response.StatusCode, int(n), err == nil, false, err
}

// longPause plays sound workers that pause inside long answers, and a change of the configuration meanwhile. It tells whether an answer was ended
// because its worker was silent.
func longPause(recordPath string, trouble bool) (bool, error) {
	f, err := newFleet(recordPath, 3, 2)
	if err != nil {
		return false, err
	}
	defer f.shutDown()
	for i := range 8 {
		w := &reportWorker{id: fmt.Sprintf("i-%04d", i), rec: f.rec}
		addr := fmt.Sprintf("%s.%d:%d", f.net, 100+i, workerPort)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return false, fmt.Errorf("%w: %v", errSetup, err)
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
		f.platform.list(w.id, "port-order", addr, zoneNames[i%len(zoneNames)], 4)
	}
	if err := f.launchAll(); err != nil {
		return false, err
	}
	configuration := func(edition int) *timetable {
		t := newTimetable(edition)
		t.service("port-order")
		t.route("r-report", "reports.example", "/report/", "unsafe", reportDeadline, 12, 1, 2, "port-order")
		t.route("r-quick", "reports.example", "/quick/", "unsafe", 2, 0.3, 1, 2, "port-order")
		return t
	}
	if err := f.put(configuration(1)); err != nil {
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
	type cut struct {
		sent, ended time.Time
	}
	var cuts []cut
	var changeSent, changeAcked time.Time
	var number atomic.Int64
	nextID := func() string { return fmt.Sprintf("%016x", 0x7a5e0000+number.Add(1)) }
	for i := range 10 {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			caller := &keptCaller{front: f.fronts[i%2]}
			for range 2 { // the connection is kept
				_, _, _, _, _ = caller.post("/quick/1", nextID(), 2*time.Second)
			}
			id, sent := nextID(), time.Now()
			f.rec.notef("try %s of a report at %s", id, caller.front.name)
			status, got, whole, gaveUp, err := caller.post("/report/1", id, time.Duration(reportDeadline*float64(time.Second)))
			f.rec.notef("try %s: status %d, %d of %d bytes, whole %t, client gave up %t, after %.3f s: %v", id, status, got, reportBytes, whole, gaveUp, time.Since(sent).Seconds(), err)
			if !whole && !gaveUp {
				mu.Lock()
				cuts = append(cuts, cut{sent, time.Now()})
				mu.Unlock()
			}
		})
	}
	if trouble {
		all.Go(func() {
			time.Sleep(6500 * time.Millisecond)
			t := configuration(2)
			t.route("r-idle", "idle.example", "/idle/", "safe", 2, 0.3, 2, 2, "port-order")
			mu.Lock()
			changeSent = time.Now()
			mu.Unlock()
			f.rec.notef("operator: a change of the configuration adds an idle route")
			if f.put(t) == nil {
				mu.Lock()
				changeAcked = time.Now()
				mu.Unlock()
			}
		})
	}
	all.Wait()
	beside, other := 0, 0
	for _, c := range cuts {
		in := !changeSent.IsZero() && c.ended.After(changeSent) && c.ended.Before(changeAcked.Add(time.Duration((editionS+1)*float64(time.Second))))
		if used := c.ended.Sub(c.sent).Seconds() / reportDeadline; in && used < usedAtMost {
			beside++
		} else {
			other++
		}
	}
	f.rec.notef("LOST: %d answers were ended beside the change while their workers were at work, %d at other times", beside, other)
	return beside > 0 && beside > 3*other, nil
}
