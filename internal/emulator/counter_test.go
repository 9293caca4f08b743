package emulator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestANumberLivesFromItsFirstCall(t *testing.T) {
	n := NewNumbers()
	var got []float64
	for _, c := range []struct {
		at, amount, life float64
	}{{0, 2, 100}, {50, 3, 1e9}, {99, -1, 1}, {100, 7, 1e9}, {100 + lifeMost - 1, 1, 1}, {100 + lifeMost, 1, 1}} {
		got = append(got, n.Add(c.at, "a", c.amount, c.life))
	}
	if diff := cmp.Diff([]float64{2, 5, 4, 7, 8, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// TestCountersTroubles plays the same calls, two of one unit at each moment and side, on a
// counter with one trouble each.
func TestCountersTroubles(t *testing.T) {
	for text, want := range map[string][]string{ // what the sides hear at 0, 10 and 20 ms
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
		e, err := ParseCounterEvent(text)
		if err != nil {
			t.Fatal(err)
		}
		c, later := NewCounter(CounterConfig{}), Moments([]CounterEvent{e})
		var got []string
		for at := 0.0; at <= 20; at += 10 {
			for len(later) > 0 && later[0].At <= at {
				later[0].Do(c)
				later = later[1:]
			}
			var heard []string
			for side := range 2 {
				switch a := c.Call(at, side, "a", 1, 1000); a.Heard {
				case Nothing:
					heard = append(heard, "-")
				case Noise:
					heard = append(heard, "?")
				default:
					heard = append(heard, fmt.Sprint(a.Total))
				}
			}
			got = append(got, strings.Join(heard, " "))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}

// TestACounterServesInTurn: a call waits for those before it, and is turned away where that
// would be long.
func TestACounterServesInTurn(t *testing.T) {
	c := NewCounter(CounterConfig{Each: 2, Queue: 5})
	c.Trouble.Late = 1
	var at []float64
	for range 5 {
		a := c.Call(0, 0, "a", 1, 1000)
		if a.Heard == TurnedAway {
			a.At = -1
		}
		at = append(at, a.At)
	}
	if diff := cmp.Diff([]float64{3, 5, 7, -1, -1}, at); diff != "" || c.Made != 3 || c.Calls != 5 {
		t.Errorf("%s; %d of %d made", diff, c.Made, c.Calls)
	}
	if c.Trouble.Slow = 10; c.Call(100, 0, "a", 1, 1000).At != 121 {
		t.Error("slow is not ten times as long")
	}
}

func TestWhatIsNoEventIsSaid(t *testing.T) {
	for _, text := range []string{"", "10s", "10s:slow=3", "10s+1s:slow", "10s+1s:slow=0", "10s+1s:silent=2", "x+1s:down",
		"10s+1s:down=1", "10s+1s:replace", "10s+1s:split=both", "10s+1s:noise", "-1s+1s:down"} {
		if _, err := ParseCounterEvent(text); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("%q", text)) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestACounterOverHTTP speaks as the protocol has it, on a side of its own at each address.
func TestACounterOverHTTP(t *testing.T) {
	s, err := ServeCounter(NewCounter(CounterConfig{}), "127.0.0.1:0", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	s.Do((*Counter).Part)
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
		res, err := http.Post("http://"+s.Addrs()[c.side]+numbersPath+c.path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(res.Body)
		res.Body.Close()
		if res.StatusCode != c.status || c.body != "" && string(text) != c.body {
			t.Errorf("%s: %d %q, want %d %q", c.path, res.StatusCode, text, c.status, c.body)
		}
	}
}
