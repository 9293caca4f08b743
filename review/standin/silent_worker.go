package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silent-worker-at-sigterm"] = silentWorkerAtTerm }

// silentWorkerAtTerm: workers send the head and the first half of an answer, work on for a while, and send the rest. One
// gatekeeper is asked to end by SIGTERM meanwhile. Rule LOST.
func silentWorkerAtTerm(recordPath string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(kochi, recordPath, 3, 2)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startAll(); err != nil {
		return false, err
	}
	const (
		requests    = 10
		silence     = 2300 * time.Millisecond // of a worker, between the two halves of its answer
		deadline    = 3 * time.Second         // of the route and of its clients
		grace       = 6 * time.Second
		answerBytes = 2000
	)
	c := newConfiguration(1)
	c.service("port-order")
	c.route("port-submit", "order.example", "/submit/", "unsafe", deadline.Seconds(), 0.5, 2, "port-order")
	if err := d.configure(c); err != nil {
		return false, err
	}
	var mu sync.Mutex
	began, ended := map[string]time.Time{}, map[string]time.Time{}
	serve := func(w *worker, conn *net.TCPConn, request *http.Request) bool {
		id := request.Header.Get("X-Foxwood-Try-Id")
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
		w.berths <- struct{}{}
		defer func() { <-w.berths }()
		mu.Lock()
		began[id] = time.Now()
		mu.Unlock()
		d.record.printf("%s runs %s", w.id, id)
		body := bodyOf(id, answerBytes)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Foxwood-Try-Id: %s\r\nX-Foxwood-Postmark: %s\r\n\r\n", len(body), id, w.stamp(id))
		if _, err := io.WriteString(conn, head+body[:len(body)/2]); err != nil {
			return false
		}
		time.Sleep(silence)
		_, err := io.WriteString(conn, body[len(body)/2:])
		mu.Lock()
		ended[id] = time.Now()
		mu.Unlock()
		d.record.printf("%s has sent the rest of its answer to %s: %v", w.id, id, err)
		return err == nil
	}
	if err := d.addWorkers("port-order", 100, 16, serve); err != nil {
		return false, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	front := d.fronts[0]
	results, sentAt := make([]result, requests), make([]time.Time, requests)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			id := fmt.Sprintf("%016x", 0x51a0b7c3d2e4f600+uint64(i))
			sentAt[i] = time.Now()
			d.record.printf("client sends %s to %s", id, front.name)
			results[i] = try(front.at(portClients), "POST", "order.example", "/submit/order", id, deadline, []piece{{0, 300}}, deadline)
			d.record.printf("client has for %s: %d, %d bytes, stamp %q %v", id, results[i].status, len(results[i].body), results[i].stamp, results[i].err)
		})
		time.Sleep(50 * time.Millisecond)
	}
	var termAt time.Time
	if trouble {
		termAt = time.Now()
		d.record.printf("SIGTERM to %s", front.name)
		_ = front.processes["switchback"].cmd.Process.Signal(syscall.SIGTERM)
	}
	all.Wait()
	time.Sleep(time.Second)
	lost, statuses := 0, map[int]int{}
	mu.Lock()
	defer mu.Unlock()
	for i, r := range results {
		id := fmt.Sprintf("%016x", 0x51a0b7c3d2e4f600+uint64(i))
		statuses[r.status]++
		worked := began[id]
		// Excluded by the rule: the deadline was reached, or the worker was still at work in the second half of the grace.
		excluded := !trouble || worked.IsZero() || worked.Add(silence).After(sentAt[i].Add(deadline)) || worked.Add(silence).After(termAt.Add(grace/2))
		if ownAnswer := r.status != 0 && r.stamp == ""; !excluded && (ownAnswer || r.status == 0 && !strings.Contains(fmt.Sprint(r.err), "refused")) {
			lost++
			d.record.printf("LOST: %s was passed on to a worker, which was at work on it; its client has status %d without a stamp (%v)", id, r.status, r.err)
		}
	}
	d.record.printf("answers by status (0: none): %v; ended while their worker was at work, behind the SIGTERM: %d", statuses, lost)
	fmt.Printf("answers by status (0: none): %v; ended while their worker was at work, behind the SIGTERM: %d\n", statuses, lost)
	return lost > 0, nil
}
