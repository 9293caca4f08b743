package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	callMost    = time.Second // of silence, after which an operator moves on
	orderPause  = 100 * time.Millisecond
	receiptMost = 30 * time.Second
)

// order is one of the operator's, from its first sending to its acknowledgement.
type order struct {
	what        string
	sent, acked time.Time // acked is zero where it never was
	calls       int
	last        string // what was heard at last
	refused     bool   // it was ended by a 4xx
}

// operator changes the configuration and evacuates zones, at any registry.
type operator struct {
	fleet  *fleet
	client *http.Client

	mu     sync.Mutex
	config configuration
	acked  uint32 // newest acknowledged edition
	orders []*order
}

func newOperator(f *fleet, tenants []tenant) *operator {
	return &operator{fleet: f, config: configuration{tenants: tenants},
		client: &http.Client{Timeout: callMost, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// change sends the next configuration until it is acknowledged.
func (o *operator) change(ctx context.Context) *order {
	o.mu.Lock()
	o.config.edition += 1 + rand.Uint32N(3)
	o.config.later = append(o.config.later, laterPrefix(o.config.edition))
	edition := o.config.edition
	body, err := o.config.body()
	o.mu.Unlock()
	if err != nil {
		return &order{last: err.Error(), refused: true}
	}
	made := o.send(ctx, "configuration "+formatEdition(edition), http.MethodPut, "/timetable", body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !made.acked.IsZero() {
		o.acked = max(o.acked, edition)
	}
	return made
}

// evacuate empties a zone, or takes that back.
func (o *operator) evacuate(ctx context.Context, zone string, back bool) *order {
	method, what := http.MethodPost, "evacuation of "+zone
	if back {
		method, what = http.MethodDelete, "return of "+zone
	}
	return o.send(ctx, what, method, "/evacuate/"+zone, nil)
}

// send sends an order to one registry after the other until one acknowledges it.
func (o *operator) send(ctx context.Context, what, method, path string, body []byte) *order {
	made := &order{what: what, sent: time.Now()}
	o.mu.Lock()
	o.orders = append(o.orders, made)
	o.mu.Unlock()
	pause := orderPause
	for ctx.Err() == nil && time.Since(made.sent) < receiptMost {
		status, said := o.call(ctx, method, path, body)
		o.mu.Lock()
		made.calls++
		made.last = said
		if status >= 200 && status < 300 {
			made.acked = time.Now()
		}
		made.refused = status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		over := made.refused || !made.acked.IsZero()
		o.mu.Unlock()
		if over {
			break
		}
		time.Sleep(pause)
		pause = min(pause*2, time.Second)
	}
	return made
}

// call makes one call at a registry by chance; status is 0 where there was no answer.
func (o *operator) call(ctx context.Context, method, path string, body []byte) (status int, said string) {
	at := o.fleet.cores[rand.IntN(len(o.fleet.cores))].at(portControl)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	answer, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, fmt.Sprintf("%d %.200s", answer.StatusCode, text)
}

// newest reads the configuration back, at one registry after the other until one is sure of it.
func (o *operator) newest(ctx context.Context) (edition string, err error) {
	for ctx.Err() == nil {
		at := o.fleet.cores[rand.IntN(len(o.fleet.cores))].at(portControl)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/timetable", nil)
		if err != nil {
			return "", err
		}
		answer, err := o.client.Do(request)
		if err != nil {
			time.Sleep(orderPause)
			continue
		}
		var read struct{ Edition string }
		err = json.NewDecoder(answer.Body).Decode(&read)
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK && err == nil {
			return read.Edition, nil
		}
		time.Sleep(orderPause)
	}
	return "", ctx.Err()
}
