package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestNumberLifetimeStartsAtFirstAddition(t *testing.T) {
	numbers := NewCounterTotals()
	var got []float64
	for _, c := range []struct {
		at, amount, life float64
	}{{0, 2, 100}, {50, 3, 1e9}, {99, -1, 1}, {100, 7, 1e9}, {100 + maxLifetimeMS - 1, 1, 1}, {100 + maxLifetimeMS, 1, 1}} {
		got = append(got, numbers.Add(c.at, "a", c.amount, c.life))
	}
	if diff := cmp.Diff([]float64{2, 5, 4, 7, 8, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// TestCounterFaults makes the same calls on counters with one fault each: one addition of 1
// from each side at each time.
func TestCounterFaults(t *testing.T) {
	for text, want := range map[string][]string{ // responses to both sides at 0, 10 and 20 ms
		"100ms+1ms:down":      {"1 2", "3 4", "5 6"},
		"5ms+10ms:down":       {"1 2", "- -", "3 4"},
		"5ms+10ms:silent=1":   {"1 2", "- -", "5 6"},
		"5ms+10ms:spoilt=1":   {"1 2", "? ?", "5 6"},
		"5ms+10ms:lose=2":     {"1 2", "3 4", "4 5"},
		"5ms+10ms:split=sum":  {"1 2", "3 3", "5 6"},
		"5ms+10ms:split=keep": {"1 2", "3 3", "4 5"},
		"15ms:replace":        {"1 2", "3 4", "1 2"},
		"15ms:restore=10ms":   {"1 2", "3 4", "3 4"},
	} {
		event, err := ParseCounterEvent(text)
		if err != nil {
			t.Fatal(err)
		}
		counter, moments := NewCounter(CounterConfig{}), CounterChanges([]CounterEvent{event})
		var got []string
		for at := 0.0; at <= 20; at += 10 {
			for len(moments) > 0 && moments[0].AtMS <= at {
				moments[0].Apply(counter)
				moments = moments[1:]
			}
			var heard []string
			for side := range 2 {
				switch answer := counter.Call(at, side, "a", 1, 1000); answer.Outcome {
				case NoResponse:
					heard = append(heard, "-")
				case InvalidResponse:
					heard = append(heard, "?")
				default:
					heard = append(heard, fmt.Sprint(answer.Total))
				}
			}
			got = append(got, strings.Join(heard, " "))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}

// TestCounterQueuesCalls checks that calls are served one after the other, and refused if they
// would wait longer than the queue allows.
func TestCounterQueuesCalls(t *testing.T) {
	counter := NewCounter(CounterConfig{ServiceTimeMS: 2, MaxQueueMS: 5})
	counter.Faults.ResponseDelayMS = 1
	var answeredAt []float64
	for range 5 {
		answer := counter.Call(0, 0, "a", 1, 1000)
		if answer.Outcome == Refused {
			answer.AtMS = -1
		}
		answeredAt = append(answeredAt, answer.AtMS)
	}
	if diff := cmp.Diff([]float64{3, 5, 7, -1, -1}, answeredAt); diff != "" || counter.Additions != 3 || counter.Calls != 5 {
		t.Errorf("%s; %d of %d made", diff, counter.Additions, counter.Calls)
	}
	if counter.Faults.SlowFactor = 10; counter.Call(100, 0, "a", 1, 1000).AtMS != 121 {
		t.Error("a call to a counter that is slow by 10 does not take 10 times as long")
	}
}

func TestParseCounterEventRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", "10s", "10s:slow=3", "10s+1s:slow", "10s+1s:slow=0", "10s+1s:silent=2", "x+1s:down",
		"10s+1s:down=1", "10s+1s:replace", "10s+1s:split=both", "10s+1s:noise", "-1s+1s:down"} {
		if _, err := ParseCounterEvent(text); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%q", text)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestCounterServerHTTP checks the HTTP protocol, with one address for each side of a partition.
func TestCounterServerHTTP(t *testing.T) {
	server, err := ServeCounter(NewCounter(CounterConfig{}), "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Stop()
	server.Update((*Counter).Partition)
	for _, c := range []struct {
		side   int
		path   string
		status int
		body   string
	}{
		{0, "a1?delta=2.5&life_ms=4000", 200, "2.5"},
		{0, "a1?delta=-1&life_ms=4000", 200, "1.5"},
		{1, "a1?delta=1&life_ms=4000", 200, "1"},
		{0, "a1?delta=x&life_ms=4000", 400, ""},
		{0, "a1?delta=1&life_ms=0", 400, ""},
		{0, "?delta=1&life_ms=5", 404, ""},
		{0, strings.Repeat("a", 65) + "?delta=1&life_ms=5", 404, ""},
	} {
		response, err := http.Post("http://"+server.Addrs()[c.side]+numbersPath+c.path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != c.status || c.body != "" && string(text) != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.path, response.StatusCode, text, c.status, c.body)
		}
	}
}
