package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"quetzalknot/client"
	"quetzalknot/request"
	"quetzalknot/tools/standin/targetd"
	"quetzalknot/verdict"
)

const (
	// waitTimeout is how long a caller waits for a response after its own deadline.
	waitTimeout = 20 * time.Second
	// maxParsedResponse is the number of body bytes that are kept and parsed as a target's response.
	maxParsedResponse = 4 << 10
)

// Sender sends a caller's request through an entry host.
type Sender interface {
	// Send finds an entry host and returns its response and the verdict.
	Send(ctx context.Context, service string, client netip.Addr, r *http.Request) (*http.Response, verdict.Verdict, error)
}

// Options describe one run.
type Options struct {
	Kinds []Kind
	// Planned replaces the requests generated from Kinds. The name of each request's
	// kind must occur in Kinds.
	Planned []PlannedRequest
	// Regions are the names of the callers' regions; Blocks are the address blocks
	// of their callers, in the same order.
	Regions []string
	Blocks  []string
	Seed    uint64
	// Warmup is the first part of Duration; its latencies are excluded.
	Warmup   time.Duration
	Duration time.Duration
	// RunID makes request ids unique among runs against the same targets.
	RunID  string
	Sender Sender
	// OnFinished is called after each request, concurrently. It may be nil.
	OnFinished func(FinishedRequest)
}

// FinishedRequest is the outcome of one request as its caller saw it.
type FinishedRequest struct {
	Kind string
	// Region is the caller's region.
	Region string
	// Target is the name of the target that ran the request. Empty when unknown.
	Target  string
	Verdict verdict.Verdict
	Success bool
}

// Run sends the load and returns a result for each kind after every request has
// ended. Call Report.Reconcile to compare the results with the targets' records.
func Run(ctx context.Context, opts Options) (*Report, error) {
	blocks := make([]netip.Prefix, len(opts.Blocks))
	for i, b := range opts.Blocks {
		prefix, err := netip.ParsePrefix(b)
		if err != nil {
			return nil, err
		}
		blocks[i] = prefix
	}
	t := &tally{results: make(map[string]*Result)}
	var requests []scheduledRequest
	for i := range opts.Kinds {
		k := &opts.Kinds[i]
		t.results[k.Name] = newResult(k.Name)
		if opts.Planned != nil {
			continue
		}
		requests = append(requests, schedule(k, opts.Regions, opts.Seed, opts.Duration)...)
	}
	for i := range opts.Planned {
		requests = append(requests, scheduledFromPlan(&opts.Planned[i]))
	}
	slices.SortFunc(requests, func(a, b scheduledRequest) int { return int(a.at - b.at) })
	r := &runner{opts: opts, blocks: blocks, tally: t, start: time.Now()}
	var inFlight sync.WaitGroup
	for i := range requests {
		if !sleepUntil(ctx, r.start.Add(requests[i].at)) {
			break
		}
		inFlight.Go(func() { r.send(ctx, &requests[i]) })
	}
	inFlight.Wait()
	return t.report(opts.Kinds), ctx.Err()
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runner sends the requests of one run.
type runner struct {
	opts   Options
	blocks []netip.Prefix
	tally  *tally
	start  time.Time
}

func (r *runner) send(ctx context.Context, s *scheduledRequest) {
	o := outcome{scheduled: s, id: s.id(r.opts.RunID), key: s.fixedKey}
	if s.kind.Keyed && o.key == "" {
		o.key = "key-" + o.id
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout+time.Duration(s.kind.TimeoutMS)*time.Millisecond)
	defer cancel()
	req, err := r.newRequest(ctx, s, &o)
	if err == nil {
		r.roundTrip(ctx, s, req, &o)
	}
	o.latency = time.Since(r.start.Add(s.at))
	o.afterWarmup = s.at >= r.opts.Warmup
	r.tally.add(o)
	if r.opts.OnFinished != nil {
		r.opts.OnFinished(FinishedRequest{
			Kind: s.kind.Name, Region: r.opts.Regions[s.region], Target: o.target,
			Verdict: o.verdict, Success: o.success && !o.truncated,
		})
	}
}

func (r *runner) newRequest(ctx context.Context, s *scheduledRequest, o *outcome) (*http.Request, error) {
	var body io.Reader
	if s.kind.BodyBytes > 0 {
		body = bytes.NewReader(make([]byte, s.kind.BodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, s.kind.method(), "http://"+s.kind.Service+s.kind.Path, body)
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set(request.HeaderRequestID, o.id)
	h.Set(targetd.HeaderRun, strconv.FormatFloat(s.runMS, 'f', 3, 64))
	if s.kind.Long {
		h.Set(targetd.HeaderLong, "1")
	}
	if s.kind.ResponseBytes > 0 {
		h.Set(targetd.HeaderResponseBytes, strconv.Itoa(s.kind.ResponseBytes))
	}
	if s.kind.TimeoutMS > 0 {
		h.Set(request.HeaderTimeout, strconv.Itoa(s.kind.TimeoutMS))
	}
	if o.key != "" {
		h.Set(request.HeaderIdempotencyKey, o.key)
	}
	return req, nil
}

func (r *runner) roundTrip(ctx context.Context, s *scheduledRequest, req *http.Request, o *outcome) {
	resp, v, err := r.opts.Sender.Send(ctx, s.kind.Service, clientAddr(r.blocks[s.region], s.client), req)
	o.verdict = v
	if err != nil {
		var clientErr *client.Error
		o.answered = errors.As(err, &clientErr)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.success = resp.StatusCode < http.StatusMultipleChoices
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxParsedResponse))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	o.answered = true
	o.truncated = err != nil
	o.checkResponse(resp, head)
}

// checkResponse records which target ran the request, and whether the response
// belongs to another request.
func (o *outcome) checkResponse(resp *http.Response, body []byte) {
	if !o.success {
		return
	}
	o.mismatched = resp.Header.Get(request.HeaderRequestID) != o.id
	if o.scheduled.kind.ResponseBytes > 0 || o.truncated {
		return
	}
	var parsed targetd.Response
	if json.Unmarshal(body, &parsed) != nil || parsed.RequestID != o.id {
		o.mismatched = true
		return
	}
	o.target = parsed.Target
}

// maxWideBlockBits is the longest prefix of an IPv4 block that is wide enough for
// each caller to have a /24 block of its own.
const maxWideBlockBits = 16

// clientAddr returns the address of the n-th caller of an IPv4 block. In a wide
// block each caller has an address in a /24 block of its own.
func clientAddr(block netip.Prefix, n int) netip.Addr {
	b := block.Addr().As4()
	if block.Bits() <= maxWideBlockBits {
		b[2] = byte(n)
		b[3] = 1
		return netip.AddrFrom4(b)
	}
	b[3] = byte(n)
	return netip.AddrFrom4(b)
}
