package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"foxwood/internal/rpc/api"
)

const (
	platformTimeout    = 900 * time.Millisecond // for one page of the list
	pollWarnAfterMs    = 2000.0                 // milliseconds without the list after which a warning is logged
	maxPlatformPages   = 200                    // protects against page tokens that never end
	startupPollDelayMs = 60.0                   // after the start, while other registries may still send their endpoints
)

// platformPage is one page of the platform's list.
type platformPage struct {
	Roster struct {
		Columns []string `json:"columns"`
		Rows    [][]any  `json:"rows"`
	} `json:"roster"`
	Next *string `json:"nextToken"`
}

var platformClient = &http.Client{Timeout: platformTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second,
	DisableCompression: true, DialContext: (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext}}

// pollPlatform reads the platform's list of workers if this registry holds that duty; in a reduced
// form also if nobody holds it. A list that is not read completely changes nothing.
func (b *Registry) pollPlatform(ctx context.Context) {
	b.mu.Lock()
	startedAt, version := b.now(), b.endpoints.version
	termBefore, ok := b.election.Holds(startedAt, dutyEndpoints)
	empty := version == 0 && startedAt > startupPollDelayMs
	withoutHolder := !ok && !empty && b.withdrawals.dutyVacant(startedAt) && startedAt >= b.withdrawals.nextRead
	b.mu.Unlock()
	if !ok && !empty && !withoutHolder {
		return
	}
	list, pages, err := b.readPlatformList(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.PlatformReads++
	term, ok := b.election.Holds(b.now(), dutyEndpoints)
	ok = ok && term == termBefore       // a list requested in an earlier term may be older than what that term's holder has announced
	ok = ok || b.endpoints.version == 0 // a registry that knows no workers does not wait until it holds the duty
	switch {
	case err != nil:
		b.counters.PlatformReadsFailed++
		if !b.pollFailing && b.now()-b.polledAt > pollWarnAfterMs {
			b.pollFailing = true
			b.log.Warn().Err(err).Msg("cannot read the platform's list")
		}
	case withoutHolder:
		b.withdrawWithoutHolder(startedAt, version, pages, list)
	case !ok: // the duty was lost meanwhile: the new holder may have a newer list
	default:
		b.polledAt = b.now()
		if b.pollFailing {
			b.pollFailing = false
			b.log.Info().Msg("platform's list is read again")
		}
		if b.endpoints.applyPlatformList(b.now(), term, list) {
			b.log.Info().Uint64("version", b.endpoints.version).Int("workers", len(list)).Msg("worker list changed")
			b.withdrawals.dropSuperseded(b.endpoints)
			b.notifyWaiters()
			select {
			case b.gossipSoon <- struct{}{}:
			default: // a gossip round is already requested
			}
		}
	}
}

// readPlatformList reads all pages of the platform's list, and returns their number too.
func (b *Registry) readPlatformList(ctx context.Context) (list []api.Worker, pages int, err error) {
	token := ""
	for n := 0; ; n++ {
		if n > maxPlatformPages {
			return nil, n, fmt.Errorf("platform's list does not end after %d pages", n)
		}
		address := "http://" + b.settings.PlatformAPI.Address + "/roster"
		if token != "" {
			address += "?pageToken=" + url.QueryEscape(token)
		}
		page, err := b.readPlatformPage(ctx, address)
		if err != nil {
			return nil, n, err
		}
		workers, err := page.parseWorkers()
		if err != nil {
			return nil, n, err
		}
		list = append(list, workers...)
		if page.Next == nil || *page.Next == "" {
			return list, n + 1, nil
		}
		token = *page.Next
	}
}

func (b *Registry) readPlatformPage(ctx context.Context, address string) (page platformPage, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return page, err
	}
	response, err := platformClient.Do(request)
	if err != nil {
		return page, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
		return page, fmt.Errorf("platform's list: got status %d, expected %d", response.StatusCode, http.StatusOK)
	}
	return page, json.NewDecoder(io.LimitReader(response.Body, maxConfigurationBytes)).Decode(&page)
}

// parseWorkers returns the workers in the rows of a page.
func (p *platformPage) parseWorkers() ([]api.Worker, error) {
	columns := map[string]int{}
	for i, column := range p.Roster.Columns {
		columns[column] = i
	}
	for _, required := range []string{"id", "destination", "address", "state"} {
		if _, ok := columns[required]; !ok {
			return nil, fmt.Errorf("platform's list has no column %q, got %q", required, p.Roster.Columns)
		}
	}
	list := make([]api.Worker, 0, len(p.Roster.Rows))
	for _, row := range p.Roster.Rows {
		textOf := func(column string) string {
			i, ok := columns[column]
			if !ok || i >= len(row) {
				return ""
			}
			text, _ := row[i].(string)
			return text
		}
		numberOf := func(column string) float64 {
			i, ok := columns[column]
			if !ok || i >= len(row) {
				return 0
			}
			number, _ := row[i].(float64)
			return number
		}
		worker := api.Worker{ID: textOf("id"), Destination: textOf("destination"), Addr: textOf("address"), Zone: textOf("zone"),
			Version: textOf("edition"), Slots: int(numberOf("berths")), Draining: strings.TrimSpace(textOf("state")) != "open_counter",
			SlowStartLeftMS: numberOf("coldS_time") * 1000}
		if worker.ID == "" || worker.Addr == "" {
			return nil, fmt.Errorf("platform's list has a worker without id or address: got id %q, address %q", worker.ID, worker.Addr)
		}
		list = append(list, worker)
	}
	return list, nil
}
