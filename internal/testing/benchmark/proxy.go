package benchmark

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"
)

// idleTimeout is the time for which an idle connection to a worker is kept. It is short, so that one target's
// connections are closed before the next target is measured.
const idleTimeout = 500 * time.Millisecond

// ServeReverseProxy serves the baseline of the comparison of transports: the standard library's ReverseProxy, which sends to
// the workers in turn.
func ServeReverseProxy(listen string, workers []string) error {
	var next atomic.Uint64
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: workers[next.Add(1)%uint64(len(workers))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: idleTimeout},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", proxy)
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	return http.Serve(listener, mux)
}
