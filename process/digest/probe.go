package digest

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// probeTimeout bounds the check of one target.
	probeTimeout = time.Second
	// maxProbed is how many targets of a site one round checks.
	maxProbed = 16
	// maxLoadBytes bounds the answer of a load endpoint.
	maxLoadBytes = 4 << 10
)

// Target is where one target of a site is asked for its health and load.
type Target struct {
	Addr       string
	HealthPath string
	LoadPath   string
	// Slots is what the tickets say; a report of more free slots is cut to it.
	Slots int
}

// load is the body of a target's load endpoint.
type load struct {
	InFlight *int `json:"in_flight"`
}

// Probe checks targets of a site. The room is the middle one of those that are
// up, so that a single target that understates its load changes nothing; a target
// whose load can't be read counts as full.
func Probe(ctx context.Context, transport http.RoundTripper, targets []Target) Measurement {
	targets = targets[:min(len(targets), maxProbed)]
	rooms := make([]float64, len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() { rooms[i] = t.probe(ctx, transport) })
	}
	wg.Wait()
	m := Measurement{Total: len(targets)}
	var up []float64
	for _, room := range rooms {
		if room >= 0 {
			up = append(up, room)
		}
	}
	m.Up = len(up)
	if m.Up > 0 {
		slices.Sort(up)
		m.Room = up[(len(up)-1)/2]
	}
	return m
}

// down is the room of a target that does not answer its health check.
const down = -1

// probe returns the free share of a target's slots, or down.
func (t Target) probe(ctx context.Context, transport http.RoundTripper) float64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, ok := t.get(ctx, transport, t.HealthPath); !ok {
		return down
	}
	data, ok := t.get(ctx, transport, t.LoadPath)
	var l load
	if !ok || json.Unmarshal(data, &l) != nil || l.InFlight == nil || t.Slots <= 0 {
		return 0
	}
	free := float64(t.Slots-*l.InFlight) / float64(t.Slots)
	return min(max(free, 0), 1)
}

func (t Target) get(ctx context.Context, transport http.RoundTripper, path string) ([]byte, bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Addr+path, nil)
	if err != nil {
		return nil, false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadBytes))
	return data, err == nil && resp.StatusCode == http.StatusOK
}
