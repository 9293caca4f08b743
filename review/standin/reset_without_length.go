package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["reset-answer-without-length"] = resetAnswerWithoutLength }

// resetAnswerWithoutLength: some answers have no length and end with their connection. For some seconds, again and again, a
// share of the workers break such answers off: the connection is reset on the way. Rule MIXED.
func resetAnswerWithoutLength(recordPath string, trouble bool) (broken bool, err error) {
	d, err := newDeployment(kochi, recordPath, 3, 9)
	if err != nil {
		return false, err
	}
	defer d.stop()
	if err := d.startAll(); err != nil {
		return false, err
	}
	c := newConfiguration(1)
	c.service("port-lookup")
	c.route("eligibility-read", "lookup.example", "/eligible/", "safe", 2, 0.3, 2, "port-lookup")
	if err := d.configure(c); err != nil {
		return false, err
	}
	const (
		workers     = 16
		sick        = 9  // workers that break answers off: 0.5625 of them, of at most 0.6
		oneIn       = 34 // of the answers of each sick worker, a share of 0.0294, of at most 0.03
		troubleFor  = 5 * time.Second
		pauseFor    = 4 * time.Second
		troubles    = 9
		clients     = 40
		perS        = 900
		answerBytes = 1500
	)
	var begins time.Time // of the first trouble, set before the first request
	inTrouble := func() bool {
		since := time.Since(begins)
		n := since / (troubleFor + pauseFor)
		return trouble && since >= 0 && n < troubles && since-n*(troubleFor+pauseFor) < troubleFor
	}
	var noLength, brokenOff atomic.Int64
	serve := func(w *worker, conn *net.TCPConn, request *http.Request) bool {
		id := request.Header.Get("X-Foxwood-Try-Id")
		w.berths <- struct{}{}
		time.Sleep(15 * time.Millisecond)
		<-w.berths
		w.mu.Lock()
		w.runs++
		number := w.runs
		w.mu.Unlock()
		d.record.printf("%s runs %s", w.id, id)
		fields := []string{"X-Foxwood-Try-Id: " + id, "X-Foxwood-Postmark: " + w.stamp(id)}
		body := bodyOf(id, answerBytes)
		if w.index >= sick || number%oneIn != 0 {
			return answer(conn, 200, fields, body)
		}
		noLength.Add(1)
		head := "HTTP/1.1 200 OK\r\n" + strings.Join(fields, "\r\n") + "\r\nConnection: close\r\n\r\n"
		if !inTrouble() {
			_, _ = io.WriteString(conn, head+body)
			return false // the end of the connection ends the answer
		}
		brokenOff.Add(1)
		d.record.printf("%s breaks off its answer to %s after %d of %d bytes: the connection is reset", w.id, id, len(body)/2, len(body))
		_, _ = io.WriteString(conn, head+body[:len(body)/2])
		_ = conn.SetLinger(0)
		return false
	}
	if err := d.addWorkers("port-lookup", 100, workers, serve); err != nil {
		return false, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	begins = time.Now().Add(2 * time.Second)
	stopAt := begins.Add(troubles * (troubleFor + pauseFor))
	var group sync.WaitGroup
	var asked, served, short atomic.Int64
	for n := range clients {
		group.Go(func() {
			client := &keptClient{addr: d.fronts[n%len(d.fronts)].at(portClients)}
			defer client.close()
			for i := 0; time.Now().Before(stopAt); i++ {
				next := time.Now().Add(clients * time.Second / perS)
				id := fmt.Sprintf("%04x%012x", n, i)
				asked.Add(1)
				d.record.printf("client sends %s to %s", id, client.addr)
				r := client.get("lookup.example", "/eligible/number", id, 2*time.Second)
				d.record.printf("client has for %s: %d, %d bytes, stamp %q %v", id, r.status, len(r.body), r.stamp, r.err)
				if r.status == 200 {
					served.Add(1)
					if r.body != bodyOf(id, answerBytes) || r.stamp == "" {
						short.Add(1)
						d.record.printf("MIXED: the client of %s has 200 with stamp %q and a whole answer of %d bytes; the worker's body has %d", id, r.stamp, len(r.body), answerBytes)
					}
				}
				time.Sleep(time.Until(next))
			}
		})
	}
	group.Wait()
	summary := fmt.Sprintf("asked %d, served %d; answers without a length %d, of which broken off %d; successes that lack part of the body: %d",
		asked.Load(), served.Load(), noLength.Load(), brokenOff.Load(), short.Load())
	d.record.printf("%s", summary)
	fmt.Println(summary)
	if served.Load() < asked.Load()*8/10 {
		return false, fmt.Errorf("%w: too few requests were served", errCannotRun)
	}
	return short.Load() > 0, nil
}
