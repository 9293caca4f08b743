package nginx

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"foxwood/internal/gateway/openapi"
	"foxwood/internal/gateway/platform"
)

// testConfig is a configuration with two upstreams and locations of every kind.
const testConfig = `
events {}
http {
    upstream calc {
        least_conn;
        server 127.0.0.1:9001 weight=3 max_fails=2;
        server 127.0.0.1:9002 down;
        server 127.0.0.1:9003 backup;
        keepalive 16;
        keepalive_timeout 30s;
    }
    upstream other { server 127.0.0.1:7000; }
    server {
        listen 127.0.0.1:8080;
        # foxwood: {"units": 2, "aim-ms": 400}
        location = /cuota {
            proxy_pass http://calc;
            proxy_read_timeout 2s;
            proxy_connect_timeout 250ms;
            proxy_next_upstream_tries 3;
            limit_except GET { deny all; }
        }
        # foxwood: {"units": 3, "aim-ms": 750, "worth": 2, "repeat": "keyed", "window-ms": 1000}
        location /simulacion {
            limit_except POST { deny all; }
            proxy_read_timeout 2;
            proxy_pass http://calc;
        }
        location ~ ^/viejo { proxy_pass http://calc; }
        location = /reescrito { proxy_pass http://calc/nuevo; }
        location = /ajeno { proxy_pass http://other; }
    }
}`

func TestImportUpstreamAndLocations(t *testing.T) {
	result, err := Import(testConfig, "calc")
	if err != nil {
		t.Fatal(err)
	}
	want := []platform.Instance{
		{ID: "127.0.0.1:9001", Addr: "127.0.0.1:9001", Lifecycle: "ready", Weight: 3},
		{ID: "127.0.0.1:9002", Addr: "127.0.0.1:9002", Lifecycle: "draining", Weight: 1},
	}
	if diff := cmp.Diff(want, result.Workers.Instances); diff != "" {
		t.Error(diff)
	}
	limits := map[string]any{"conn-idle-us": int64(30e6), "connect-timeout-us": int64(250e3), "max-attempts": 3}
	if diff := cmp.Diff(limits, result.Limits); diff != "" {
		t.Error(diff)
	}
	text, err := json.Marshal(result.Description)
	if err != nil {
		t.Fatal(err)
	}
	d, err := openapi.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if d.OperationCount() != 2 {
		t.Errorf("%d operations of %s", d.OperationCount(), text)
	}
	notes := strings.Join(result.Notes, "\n")
	for _, said := range []string{"least_conn", "max_fails", "9003: a backup", "/simulacion: a prefix", "~ ^/viejo", "/reescrito: proxy_pass rewrites"} {
		if !strings.Contains(notes, said) {
			t.Errorf("no note on %s in:\n%s", said, notes)
		}
	}
}

// TestLocationWithoutCostIsRejected checks that a location without units is noted, and that the
// imported description is rejected until they are added: nginx has no cost, and none is guessed.
func TestLocationWithoutCostIsRejected(t *testing.T) {
	result, err := Import(strings.Replace(testConfig, `"units": 2, `, "", 1), "calc")
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(result.Description)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openapi.Parse(text); err == nil || !strings.Contains(err.Error(), `operation "get-cuota" states no cost`) {
		t.Errorf("got error %v, want one on the missing cost", err)
	}
	if !strings.Contains(strings.Join(result.Notes, "\n"), "location /cuota: no cost is stated") {
		t.Errorf("no note on the missing cost in %q", result.Notes)
	}
}

func TestInvalidConfigIsRejected(t *testing.T) {
	for name, c := range map[string]struct{ from, to, upstream string }{
		"no such upstream": {"", "", "nada"},
		"a broken weight":  {"weight=3", "weight=x", "calc"},
		"a broken time":    {"timeout 2s", "timeout soon", "calc"},
		"broken terms":     {`{"units": 2,`, `{"units": ,`, "calc"},
		"a broken block":   {"events {}", "events {", "calc"},
	} {
		if _, err := Import(strings.Replace(testConfig, c.from, c.to, 1), c.upstream); err == nil {
			t.Errorf("%s: the invalid configuration was accepted", name)
		}
	}
}
