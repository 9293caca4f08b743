// Package metrics serves a process's metrics over HTTP in the Prometheus text exposition format. Values are read from
// the process at each scrape and cost nothing between scrapes.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"foxwood/internal/rpc"
)

// namespace prefixes the name of each metric.
const namespace = "foxwood"

const (
	readTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 4 << 10 // bytes of a request's header
)

// Label distinguishes metrics of the same name.
type Label struct{ Name, Value string }

// Sample is the value of a metric at a scrape.
type Sample struct {
	Name    string // without the namespace; ends in _total for counters and in the unit for other metrics
	Help    string
	Counter bool // the value only increases during the life of the process
	Labels  []Label
	Value   float64
}

// Gauge returns the value of a gauge.
func Gauge(name, help string, value float64, labels ...Label) Sample {
	return Sample{Name: name, Help: help, Labels: labels, Value: value}
}

// Counter returns the value of a counter.
func Counter(name, help string, value uint64, labels ...Label) Sample {
	return Sample{Name: name, Help: help, Counter: true, Labels: labels, Value: float64(value)}
}

// BoolGauge returns the value of a gauge that is 1 if a condition is set and 0 otherwise.
func BoolGauge(name, help string, set bool, labels ...Label) Sample {
	value := 0.0
	if set {
		value = 1
	}
	return Gauge(name, help, value, labels...)
}

// Source provides the metrics of a process.
type Source interface {
	// Figures returns the current values. It may be called at any time by any goroutine.
	Figures(ctx context.Context) []Sample
}

// Endpoint is the port and path at which metrics are served, written as PORT/PATH.
type Endpoint struct {
	Port int
	Path string // with the leading slash
}

// ParseEndpoint parses PORT/PATH.
func ParseEndpoint(text string) (Endpoint, error) {
	port, path, ok := strings.Cut(text, "/")
	number, err := strconv.Atoi(port)
	if !ok || err != nil || number < 1 || number > 65535 {
		return Endpoint{}, fmt.Errorf("metrics: %q is not PORT/PATH with a port from 1 to 65535", text)
	}
	return Endpoint{Port: number, Path: "/" + path}, nil
}

// collector implements prometheus.Collector. It reads a source at each scrape.
type collector struct {
	source Source
}

// Describe sends no descriptors: the labels are known only at a scrape. This makes the collector an unchecked one.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values of the source and of the calls that this process has sent.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for _, figure := range append(c.source.Figures(ctx), rpcFigures()...) {
		metrics <- figure.toPrometheus()
	}
}

// toPrometheus converts a value to a Prometheus metric.
func (f Sample) toPrometheus() prometheus.Metric {
	names, values := make([]string, len(f.Labels)), make([]string, len(f.Labels))
	for i, l := range f.Labels {
		names[i], values[i] = l.Name, l.Value
	}
	valueType := prometheus.GaugeValue
	if f.Counter {
		valueType = prometheus.CounterValue
	}
	desc := prometheus.NewDesc(prometheus.BuildFQName(namespace, "", f.Name), f.Help, names, nil)
	metric, err := prometheus.NewConstMetric(desc, valueType, f.Value, values...)
	if err != nil {
		return prometheus.NewInvalidMetric(desc, err)
	}
	return metric
}

// rpcFigures returns the numbers of frames and bytes that this process has sent to other processes.
func rpcFigures() (figures []Sample) {
	for call, sent := range rpc.SentCounts() {
		call = strings.TrimPrefix(call, "waymark.")
		label := Label{"call", call}
		figures = append(figures, Counter("rpc_sent_frames_total", "Frames sent to other processes, by call; answers have an arrow before the name.", sent[0], label),
			Counter("rpc_sent_bytes_total", "Bytes sent to other processes, by call; answers have an arrow before the name.", sent[1], label))
	}
	return figures
}

// Handler returns a handler that answers scrapes with the metrics of a source.
func Handler(source Source) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{source})
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true, MaxRequestsInFlight: 1})
}

// Serve starts to answer scrapes at an endpoint of the IP address, and goes on until the context ends.
func Serve(ctx context.Context, ip string, endpoint Endpoint, source Source) error {
	listener, err := rpc.Listen(net.JoinHostPort(ip, strconv.Itoa(endpoint.Port)))
	if err != nil {
		return fmt.Errorf("metrics: endpoint %d%s: %w", endpoint.Port, endpoint.Path, err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+endpoint.Path, Handler(source))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return nil
}
