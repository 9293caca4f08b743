package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["lost-answer-of-long-request"] = lostAnswerOfLongRequest }

// lostAnswerOfLongRequest: workers answer long requests before they have read the whole body. Half of the workers lose the
// answers of a twentieth of the requests that they ran. Rules TWICE and REFUSED.
func lostAnswerOfLongRequest(recordPath string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(kochi, recordPath, 3, 2)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startAll(); err != nil {
		return false, err
	}
	c := newConfiguration(1)
	c.service("port-order")
	c.route("port-submit", "order.example", "/submit/", "unsafe", 2, 0.3, 2, "port-order")
	if err := d.configure(c); err != nil {
		return false, err
	}
	const (
		workers  = 8
		lossy    = 4               // workers that lose answers: half of them
		lossEach = 20              // one in so many of the requests that such a worker runs
		lossFor  = 4 * time.Second // how long
	)
	runs := &ledger{runs: map[string]int{}}
	var lossBegins, lossEnds time.Time // set before the first request
	serve := func(w *worker, conn *net.TCPConn, request *http.Request) bool {
		id := request.Header.Get("X-Foxwood-Try-Id")
		first := make([]byte, 16<<10) // the part of the body that says what is asked
		if _, err := io.ReadFull(request.Body, first); err != nil {
			return false
		}
		w.berths <- struct{}{}
		n := runs.add(id)
		w.mu.Lock()
		w.runs++
		number := w.runs
		w.mu.Unlock()
		d.record.printf("%s runs %s (run %d of this try)", w.id, id, n)
		time.Sleep(60 * time.Millisecond)
		<-w.berths
		now := time.Now()
		if trouble && w.index < lossy && number%lossEach == w.index+1 && now.After(lossBegins) && now.Before(lossEnds) {
			d.record.printf("%s loses its answer to %s: the connection is reset", w.id, id)
			_ = conn.SetLinger(0)
			return false
		}
		return answer(conn, 200, []string{"X-Foxwood-Try-Id: " + id, "X-Foxwood-Postmark: " + w.stamp(id)}, "submitted "+id)
	}
	if err := d.addWorkers("port-order", 100, workers, serve); err != nil {
		return false, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // traffic starts this long after the machines do
	const requests, gap = 400, 12 * time.Millisecond
	lossBegins = time.Now().Add(500 * time.Millisecond)
	lossEnds = lossBegins.Add(lossFor)
	results := make([]result, requests)
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			id := fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(i))
			pieces := []piece{{0, 72 << 10}, {400 * time.Millisecond, 18 << 10}} // a branch's slow line
			if i%4 == 3 {
				pieces = []piece{{0, 200 << 10}, {400 * time.Millisecond, 100 << 10}}
			}
			front := d.fronts[i%len(d.fronts)]
			d.record.printf("client sends %s to %s", id, front.name)
			results[i] = try(front.at(portClients), "POST", "order.example", "/submit/order", id, 2*time.Second, pieces, 3*time.Second)
			d.record.printf("client has for %s: %d %q stamp %q %v", id, results[i].status, results[i].body, results[i].stamp, results[i].err)
		})
		time.Sleep(gap)
	}
	all.Wait()
	time.Sleep(time.Second)
	twice, refused, statuses := 0, 0, map[int]int{}
	for i, r := range results {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(i))
		statuses[r.status]++
		if n := runs.count(id); n > 1 {
			twice++
			d.record.printf("TWICE: %s, which may not be repeated, ran %d times; its client has %d", id, n, r.status)
		} else if n == 1 && (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) {
			refused++
			d.record.printf("REFUSED: %s ran, and its client has %d", id, r.status)
		}
	}
	d.record.printf("answers by status (0: none): %v; ran twice: %d; ran though refused: %d", statuses, twice, refused)
	fmt.Printf("answers by status (0: none): %v; ran twice: %d; ran though refused: %d\n", statuses, twice, refused)
	if statuses[200] < requests*8/10 {
		return false, fmt.Errorf("%w: only %d of %d requests were served", errCannotRun, statuses[200], requests)
	}
	return twice > 0, nil
}
