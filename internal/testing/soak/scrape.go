package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// shown are the figures of processes that a report sums up, without the namespace; a name also stands for what
// begins with it.
var shown = []string{"refusals_total", "quota_refusals_total", "quota_draws_total", "quota_draws_failed_total", "quota_homes_unreached_total",
	"sessions_moved_total", "tenants_starved", "quota_allot_seconds_sum", "quota_holdings_looked_total", "duties_won_total", "duties_lost_total"}

const namespace = "foxwood_"

// figure is one figure over all processes of a program.
type figure struct {
	sum, most float64
}

// scraped is the figures of the running processes by program and name with labels.
type scraped map[Program]map[string]*figure

var scraper = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// scrape reads the figures of all processes that answer.
func (f *fleet) scrape() scraped {
	all := scraped{Proxy: {}, Registry: {}, ConfigStore: {}}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, p := range f.processes() {
		wait.Go(func() {
			values := readFigures("http://" + p.machine.at(portMetrics+portOf[p.program]) + "/metrics")
			mu.Lock()
			defer mu.Unlock()
			for name, v := range values {
				sum := all[p.program][name]
				if sum == nil {
					sum = &figure{}
					all[p.program][name] = sum
				}
				sum.sum += v
				sum.most = max(sum.most, v)
			}
		})
	}
	wait.Wait()
	return all
}

// readFigures reads one process's figures, none where it does not answer.
func readFigures(url string) map[string]float64 {
	values := map[string]float64{}
	answer, err := scraper.Get(url)
	if err != nil {
		return values
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, namespace) {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[strings.TrimPrefix(name, namespace)] = v
		}
	}
	return values
}

// String tells the figures that are shown.
func (s scraped) String() string {
	var b strings.Builder
	for _, program := range []Program{Proxy, Registry} {
		var texts []string
		for name, f := range s[program] {
			base, _, _ := strings.Cut(name, "{")
			if f.sum > 0 && slices.Contains(shown, base) {
				texts = append(texts, fmt.Sprintf("%s %.6g (%.6g)", name, f.sum, f.most))
			}
		}
		slices.Sort(texts)
		fmt.Fprintf(&b, "%s, sum (most): %s\n", program, strings.Join(texts, "; "))
	}
	return b.String()
}
