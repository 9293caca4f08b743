// Package scaletest measures control at sizes that no bench plays: hollow gatekeepers, many in a process, with real
// sessions, homes and draws, before real bothies and cairns over loopback. docs/CAPACITY.md says what it leaves out.
package scaletest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/xxh3"

	"foxwood/internal/bothy"
	"foxwood/internal/quota"
	"foxwood/internal/store"
	"foxwood/internal/timetable"
	"foxwood/internal/trailhead"
)

const (
	dock     = 7460
	corePart = 2
	gatePart = 16
)

// Options is the size of a run.
type Options struct {
	Gatekeepers, Cores, Zones, Regions int
	Routes, Tenants                    int
	Net                                string // the first two parts of the addresses, as 127.40
	Dir                                string // for the cairns' disks
}

// tenants is the quotas by name.
type tenants map[string]quota.Terms

var quotaBounds = quota.Bounds{WindowS: 5, Excess: 0.1, Slack: 20}

func zoneName(z int) string { return fmt.Sprint("z", z) }

func (o *Options) region(zone int) string { return fmt.Sprint("r", zone%o.Regions) }

func (o *Options) ip(part, n int) string { return fmt.Sprintf("%s.%d.%d", o.Net, part, n+1) }

// controls are the bothies that a gatekeeper signs with: those of its region first, in an order by hash.
func (o *Options) controls(gatekeeper int) []string {
	var all []int
	for i := range o.Cores {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b int) int {
		far := func(i int) int {
			if o.region(i%o.Zones) == o.region(gatekeeper%o.Zones) {
				return 0
			}
			return 1
		}
		if far(a) != far(b) {
			return far(a) - far(b)
		}
		x, y := xxh3.HashString(fmt.Sprint(a, "/", gatekeeper)), xxh3.HashString(fmt.Sprint(b, "/", gatekeeper))
		if x < y {
			return -1
		}
		return 1
	})
	var out []string
	for _, i := range all {
		out = append(out, net.JoinHostPort(o.ip(corePart, i), fmt.Sprint(dock)))
	}
	return out
}

// tenants are few large and many small quotas, for the fleet's size.
func (o *Options) tenants() tenants {
	out := tenants{}
	for i := range o.Tenants {
		rate := math.Ceil(float64(o.Gatekeepers) * 9 / float64(i+1)) // whole, as the configuration tells it
		out[fmt.Sprint("sese", i)] = quota.Terms{RatePerS: rate, Surge: rate}
	}
	return out
}

// configuration is an edition's body; one route's name is another in each.
func (o *Options) configuration(edition uint64) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"edition":%q,"courses":{"columns":["name","domain","streetPrefix","kind","deadlineS","targetS","priority","tries","destination"],"rows":[`,
		timetable.FormatEdition(edition))
	for i := range o.Routes {
		name := fmt.Sprint("r-", i)
		if i == 0 {
			name = fmt.Sprintf("r-0-%d", edition)
		} else {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `[%q,"h%d.example","/p%d/","safe",2,0.3,1,2,"huvo"]`, name, i%7, i)
	}
	b.WriteString(`]},"destinations":{"columns":["name","healthPath","berthCap"],"rows":[["huvo","/health",60000]]},"senders":{"columns":["name","passes","priority","ratePerS","surge"],"rows":[`)
	terms := o.tenants()
	for i := range o.Tenants {
		name := fmt.Sprint("sese", i)
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `[%q,["k%d"],1,%.0f,%.0f]`, name, i, terms[name].RatePerS, terms[name].Surge)
	}
	b.WriteString(`]}}`)
	return []byte(b.String())
}

// serveCore is one core machine: a cairn and a bothy, until the context ends.
func (o *Options) serveCore(ctx context.Context, n int, log zerolog.Logger) error {
	zones, seeds := "", []string{}
	for z := range o.Zones {
		zones += fmt.Sprintf("%s = %q\n", zoneName(z), o.region(z))
	}
	for i := range min(o.Cores, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(o.ip(corePart, i), "8080")))
	}
	zone := n % o.Zones
	ip := o.ip(corePart, n)
	settings := func(program, gates string) (*trailhead.Settings, error) {
		dir := filepath.Join(o.Dir, fmt.Sprintf("%s-%d", program, n))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		return trailhead.Parse(fmt.Appendf(nil, "station = \"%s-%d\"\nrole = %q\nip = %q\nzone = %q\nregion = %q\ninnerDocks = [%d,%d]\nfirstStations = [%s]\nfirstRun = true\n"+
			"archiveDir = %q\ntimeBounds = [\"quotaWindowS=5\", \"quotaExcess=0.1\", \"quotaSlack=20\"]\n[zones]\n%s[gates]\n%s\n[sizeLimits]\ncpuShare = 1.0\nmemoryMb = 2000\nhandles = 18000\n",
			program, n, program, ip, zoneName(zone), o.region(zone), dock, dock+9, strings.Join(seeds, ","), dir, zones, gates))
	}
	own := net.JoinHostPort(ip, "8080")
	set, err := settings("bothy", fmt.Sprintf("controlDesk = %q\ndirectoryDesk = %q", own, own))
	if err != nil {
		return err
	}
	disk, err := settings("cairn", "")
	if err != nil {
		return err
	}
	s, err := store.New(disk, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan error, 2)
	go func() { ends <- s.Serve(ctx) }()
	go func() { ends <- bothy.New(set, log).Serve(ctx) }()
	first := <-ends
	cancel()
	return errors.Join(first, <-ends)
}

// put orders a configuration at one control process after the other, and tells when it was acknowledged and
// how long that took from the first try.
func (o *Options) put(ctx context.Context, edition uint64) (sent, acked time.Time, err error) {
	body := o.configuration(edition)
	sent = time.Now()
	last := ""
	for n := 0; ctx.Err() == nil && time.Since(sent) < 30*time.Second; n++ {
		call, cancel := context.WithTimeout(ctx, 2*time.Second)
		req, err := http.NewRequestWithContext(call, http.MethodPut, "http://"+net.JoinHostPort(o.ip(corePart, n%o.Cores), "8080")+"/timetable", bytes.NewReader(body))
		if err != nil {
			cancel()
			return sent, acked, err
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err.Error()
		} else {
			said, _ := io.ReadAll(res.Body)
			_ = res.Body.Close()
			last = fmt.Sprintf("%d %s", res.StatusCode, said)
		}
		cancel()
		if err == nil && res.StatusCode == http.StatusOK {
			return sent, time.Now(), nil
		}
		if err == nil && res.StatusCode < 500 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sent, acked, fmt.Errorf("edition %d was not taken, at last: %s", edition, last)
}

// at is a value of sorted ones by part.
func at[T any](sorted []T, part float64) (v T) {
	if len(sorted) == 0 {
		return v
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
