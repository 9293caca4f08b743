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
	callTimeout        = time.Second            // without a response, after which the operator tries another registry
	operatorRetryDelay = 100 * time.Millisecond // before the first retry; doubled for each further one
	acknowledgeTimeout = 30 * time.Second       // after which the operator gives up
)

// operation is a change by the operator, from the first call to the acknowledgement.
type operation struct {
	description            string
	sentAt, acknowledgedAt time.Time // acknowledgedAt is zero if it was not acknowledged
	calls                  int
	lastResponse           string // last status with the beginning of the body, or the last error
	rejected               bool   // it ended with a 4xx response other than 408 and 429
}

// operator simulates the operator, who changes the configuration and evacuates zones through any registry.
type operator struct {
	fleet  *fleet
	client *http.Client

	mu                  sync.Mutex
	config              configuration
	acknowledgedEdition uint32 // newest acknowledged edition
	operations          []*operation
}

// newOperator returns an operator that has not sent a configuration yet.
func newOperator(f *fleet, tenants []tenant) *operator {
	return &operator{fleet: f, config: configuration{tenants: tenants},
		client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// changeConfiguration sends the next configuration until it is acknowledged.
func (o *operator) changeConfiguration(ctx context.Context) *operation {
	o.mu.Lock()
	o.config.edition += 1 + rand.Uint32N(3)
	o.config.addedPrefixes = append(o.config.addedPrefixes, addedPrefix(o.config.edition))
	edition := o.config.edition
	body, err := o.config.encode()
	o.mu.Unlock()
	if err != nil {
		return &operation{lastResponse: err.Error(), rejected: true}
	}
	op := o.send(ctx, "configuration "+formatEdition(edition), http.MethodPut, "/timetable", body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !op.acknowledgedAt.IsZero() {
		o.acknowledgedEdition = max(o.acknowledgedEdition, edition)
	}
	return op
}

// evacuate starts the evacuation of a zone or, with undo, ends it.
func (o *operator) evacuate(ctx context.Context, zone string, undo bool) *operation {
	method, description := http.MethodPost, "evacuation of "+zone
	if undo {
		method, description = http.MethodDelete, "return of "+zone
	}
	return o.send(ctx, description, method, "/evacuate/"+zone, nil)
}

// send sends an operation to one random registry after the other until one acknowledges or rejects it.
func (o *operator) send(ctx context.Context, description, method, path string, body []byte) *operation {
	op := &operation{description: description, sentAt: time.Now()}
	o.mu.Lock()
	o.operations = append(o.operations, op)
	o.mu.Unlock()
	delay := operatorRetryDelay
	for ctx.Err() == nil && time.Since(op.sentAt) < acknowledgeTimeout {
		status, response := o.call(ctx, method, path, body)
		o.mu.Lock()
		op.calls++
		op.lastResponse = response
		if status >= 200 && status < 300 {
			op.acknowledgedAt = time.Now()
		}
		op.rejected = status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
		done := op.rejected || !op.acknowledgedAt.IsZero()
		o.mu.Unlock()
		if done {
			break
		}
		time.Sleep(delay)
		delay = min(delay*2, time.Second)
	}
	return op
}

// call makes a call to a random registry; status is 0 if there was no response.
func (o *operator) call(ctx context.Context, method, path string, body []byte) (status int, summary string) {
	registry := o.fleet.cores[rand.IntN(len(o.fleet.cores))].at(portControl)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+registry+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, fmt.Sprintf("%d %.200s", response.StatusCode, text)
}

// readEdition reads the edition of the current configuration, from one random registry after the other until one
// answers.
func (o *operator) readEdition(ctx context.Context) (edition string, err error) {
	for ctx.Err() == nil {
		registry := o.fleet.cores[rand.IntN(len(o.fleet.cores))].at(portControl)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+registry+"/timetable", nil)
		if err != nil {
			return "", err
		}
		response, err := o.client.Do(request)
		if err != nil {
			time.Sleep(operatorRetryDelay)
			continue
		}
		var body struct{ Edition string }
		err = json.NewDecoder(response.Body).Decode(&body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			return body.Edition, nil
		}
		time.Sleep(operatorRetryDelay)
	}
	return "", ctx.Err()
}
