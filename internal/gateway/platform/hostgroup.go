package platform

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"

	"foxwood/gatekeeper"
	"foxwood/internal/gateway/settings"
	"foxwood/policy"
)

// WorkerList is the discovery service's list of workers, complete or as changes.
type WorkerList struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Instance is a worker in a list.
type Instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS float64 `json:"startedAtMs"`
}

// HostGroup passes the lists of workers on to the core and remembers the current one.
type HostGroup struct {
	Core  *gatekeeper.Gatekeeper
	Fleet interface {
		// Place sets the address of a worker that accepts work, and when its process started in
		// milliseconds.
		Place(id policy.Server, addr string, since float64)
	}
	Names settings.Names

	version int64
	listed  map[policy.Server]Instance // including draining workers
}

// Address returns the address of a listed worker, or an empty string if it is not listed.
func (g *HostGroup) Address(id policy.Server) string { return g.listed[id].Addr }

// CurrentList returns the current list as a complete one.
func (g *HostGroup) CurrentList() WorkerList {
	list := WorkerList{Generation: g.version, Reset: true}
	for _, id := range slices.Sorted(maps.Keys(g.listed)) {
		list.Instances = append(list.Instances, g.listed[id])
	}
	return list
}

// WatchPath returns the path of a watch for the changes after the current version.
func (g *HostGroup) WatchPath() string {
	return fmt.Sprintf("/registry/instances?stream=1&index=%d", g.version)
}

// ApplyLine applies one line of the watch, a list in JSON.
func (g *HostGroup) ApplyLine(text []byte) error {
	var list WorkerList
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("host group: invalid list of %d bytes: %w", len(text), err)
	}
	kind := policy.ListDelta
	if list.Reset {
		kind = policy.FullList
	}
	g.Apply(kind, list)
	return nil
}

// Apply applies a list and passes it on to the core.
func (g *HostGroup) Apply(kind policy.ListKind, list WorkerList) {
	entries := make([]policy.Entry, 0, len(list.Instances))
	previous := g.listed
	if kind != policy.ListDelta || g.listed == nil {
		g.listed = map[policy.Server]Instance{}
	}
	for _, instance := range list.Instances {
		entry := policy.Entry{
			Server: serverID(instance.ID), State: parseLifecycle(instance.Lifecycle), Weight: instance.Weight,
			Zone: max(slices.Index(g.Names.Zones, instance.Zone), 0), Cell: instance.Cell,
			ReadyAt: policy.Micros(instance.StartedAtMS * 1000),
		}
		if entry.State == policy.Gone {
			delete(g.listed, entry.Server)
		} else {
			if old, ok := previous[entry.Server]; ok && old.Addr != instance.Addr { // another process: what the core knows of the old one does not apply
				removed := entry
				removed.State = policy.Gone
				entries = append(entries, removed)
			}
			g.listed[entry.Server] = instance
		}
		if entry.State == policy.Ready {
			g.Fleet.Place(entry.Server, instance.Addr, instance.StartedAtMS)
		}
		entries = append(entries, entry)
	}
	g.version = list.Generation
	g.Core.UpdateWorkers(kind, entries)
	ready, listed := g.Core.WorkerCounts()
	slog.Info("host group", "version", g.version, "ready", ready, "listed", listed)
}

// parseLifecycle parses a state. An unknown state counts as draining: the worker gets no new requests and
// finishes those that it has.
func parseLifecycle(s string) policy.State {
	switch s {
	case "ready":
		return policy.Ready
	case "gone":
		return policy.Gone
	}
	return policy.Draining
}

// serverID returns the core's identifier of a worker, a hash that is the same at every gatekeeper.
func serverID(id string) policy.Server {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return policy.Server(h.Sum64())
}
