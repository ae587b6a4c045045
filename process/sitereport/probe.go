package sitereport

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
	// probeTimeout bounds the health and load requests to one target together.
	probeTimeout = time.Second
	// maxTargetsPerRound is the largest number of targets of a site checked in one round.
	maxTargetsPerRound = 16
	// maxLoadBytes bounds the response body of a health or load endpoint.
	maxLoadBytes = 4 << 10
)

// Target holds the address and endpoints at which one target of a site is probed.
type Target struct {
	Addr       string
	HealthPath string
	LoadPath   string
	// Slots is the number of slots that the tickets give to the target. Free slots
	// computed from the reported load never exceed it.
	Slots int
}

// loadResponse is the response body of a target's load endpoint.
type loadResponse struct {
	InFlight *int `json:"in_flight"`
}

// Probe checks the health and load of the targets of a site. FreeShare is the median
// (the lower one of an even number) over the targets that are up, so that a single target
// that understates its load has little effect. A target whose load cannot be read
// counts as full.
func Probe(ctx context.Context, transport http.RoundTripper, targets []Target) Measurement {
	targets = targets[:min(len(targets), maxTargetsPerRound)]
	freeShares := make([]float64, len(targets))
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() { freeShares[i] = t.probe(ctx, transport) })
	}
	wg.Wait()
	m := Measurement{Total: len(targets)}
	var upShares []float64
	for _, share := range freeShares {
		if share >= 0 {
			upShares = append(upShares, share)
		}
	}
	m.Up = len(upShares)
	if m.Up > 0 {
		slices.Sort(upShares)
		m.FreeShare = upShares[(len(upShares)-1)/2]
	}
	return m
}

// targetDown is the result of probe for a target that fails its health check.
const targetDown = -1

// probe returns the free share of a target's slots, or targetDown.
func (t Target) probe(ctx context.Context, transport http.RoundTripper) float64 {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, ok := t.get(ctx, transport, t.HealthPath); !ok {
		return targetDown
	}
	data, ok := t.get(ctx, transport, t.LoadPath)
	var l loadResponse
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
