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

// reportedMetrics are the names, without namespace, of the metrics that a report contains, with any labels.
var reportedMetrics = []string{"refusals_total", "quota_refusals_total", "quota_draws_total", "quota_draws_failed_total", "quota_homes_unreached_total",
	"sessions_moved_total", "tenants_starved", "quota_allot_seconds_sum", "quota_holdings_looked_total", "duties_won_total", "duties_lost_total"}

// metricNamespace is the prefix of all metrics of the system.
const metricNamespace = "foxwood_"

// metricTotals is the sum and the maximum of a metric over all processes of a program.
type metricTotals struct {
	sum, max float64
}

// programMetrics holds the metrics of the running processes by program, and by metric name with labels.
type programMetrics map[Program]map[string]*metricTotals

// metricsClient reads the metrics of processes.
var metricsClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// scrapeMetrics reads the metrics of all processes that answer.
func (f *fleet) scrapeMetrics() programMetrics {
	byProgram := programMetrics{Proxy: {}, Registry: {}, ConfigStore: {}}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range f.processes() {
		group.Go(func() {
			values := readMetrics("http://" + p.machine.at(portMetrics+portOffset[p.program]) + "/metrics")
			mu.Lock()
			defer mu.Unlock()
			for name, v := range values {
				totals := byProgram[p.program][name]
				if totals == nil {
					totals = &metricTotals{}
					byProgram[p.program][name] = totals
				}
				totals.sum += v
				totals.max = max(totals.max, v)
			}
		})
	}
	group.Wait()
	return byProgram
}

// readMetrics reads the metrics of a process, and returns an empty map if it does not answer.
func readMetrics(url string) map[string]float64 {
	values := map[string]float64{}
	response, err := metricsClient.Get(url)
	if err != nil {
		return values
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if !ok || !strings.HasPrefix(name, metricNamespace) {
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			values[strings.TrimPrefix(name, metricNamespace)] = v
		}
	}
	return values
}

// String returns the reported metrics, one line per program.
func (s programMetrics) String() string {
	var text strings.Builder
	for _, program := range []Program{Proxy, Registry} {
		var texts []string
		for name, totals := range s[program] {
			base, _, _ := strings.Cut(name, "{")
			if totals.sum > 0 && slices.Contains(reportedMetrics, base) {
				texts = append(texts, fmt.Sprintf("%s %.6g (%.6g)", name, totals.sum, totals.max))
			}
		}
		slices.Sort(texts)
		fmt.Fprintf(&text, "%s, sum (most): %s\n", program, strings.Join(texts, "; "))
	}
	return text.String()
}
