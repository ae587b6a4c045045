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
	// patience is how long a caller waits for an answer beyond its own deadline.
	patience = 20 * time.Second
	// smallAnswer is the largest answer that is read as an Answer.
	smallAnswer = 4 << 10
)

// Sender sends one request of a caller through the system.
type Sender interface {
	// Send finds an entry host and returns its answer with the verdict.
	Send(ctx context.Context, service string, client netip.Addr, r *http.Request) (*http.Response, verdict.Verdict, error)
}

// Options describe one run.
type Options struct {
	Kinds []Kind
	// Planned replaces the requests drawn from the kinds; each must be of one of them.
	Planned []Planned
	// Regions are the names of the callers' regions; Blocks are their client blocks.
	Regions []string
	Blocks  []string
	Seed    uint64
	// Warmup is the first part of Duration; its latencies are left out.
	Warmup   time.Duration
	Duration time.Duration
	// RunID makes request ids unique among runs against the same targets.
	RunID  string
	Sender Sender
	// Observe is called after each request, from many goroutines. May be nil.
	Observe func(Finished)
}

// Finished is one request that ended, as its caller saw it.
type Finished struct {
	Kind string
	// Region is the caller's.
	Region string
	// Target ran the request; empty when unknown.
	Target  string
	Verdict verdict.Verdict
	Success bool
}

// Run sends the load and returns a result for each kind, not yet compared with
// what the targets ran. It returns when every request has ended.
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
	var shots []shot
	for i := range opts.Kinds {
		k := &opts.Kinds[i]
		t.results[k.Name] = newResult(k.Name)
		if opts.Planned != nil {
			continue
		}
		shots = append(shots, schedule(k, opts.Regions, opts.Seed, opts.Duration)...)
	}
	for i := range opts.Planned {
		shots = append(shots, shotOf(&opts.Planned[i]))
	}
	slices.SortFunc(shots, func(a, b shot) int { return int(a.at - b.at) })
	r := &runner{opts: opts, blocks: blocks, tally: t, start: time.Now()}
	var open sync.WaitGroup
	for i := range shots {
		if !sleepUntil(ctx, r.start.Add(shots[i].at)) {
			break
		}
		open.Go(func() { r.fire(ctx, &shots[i]) })
	}
	open.Wait()
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

func (r *runner) fire(ctx context.Context, s *shot) {
	o := outcome{shot: s, id: s.id(r.opts.RunID), key: s.fixedKey}
	if s.kind.Keyed && o.key == "" {
		o.key = "key-" + o.id
	}
	ctx, cancel := context.WithTimeout(ctx, patience+time.Duration(s.kind.TimeoutMS)*time.Millisecond)
	defer cancel()
	req, err := r.request(ctx, s, &o)
	if err == nil {
		r.exchange(ctx, s, req, &o)
	}
	o.latency = time.Since(r.start.Add(s.at))
	o.counted = s.at >= r.opts.Warmup
	r.tally.add(o)
	if r.opts.Observe != nil {
		r.opts.Observe(Finished{
			Kind: s.kind.Name, Region: r.opts.Regions[s.region], Target: o.target,
			Verdict: o.verdict, Success: o.success && !o.cut,
		})
	}
}

func (r *runner) request(ctx context.Context, s *shot, o *outcome) (*http.Request, error) {
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
	if s.kind.AnswerBytes > 0 {
		h.Set(targetd.HeaderAnswerBytes, strconv.Itoa(s.kind.AnswerBytes))
	}
	if s.kind.TimeoutMS > 0 {
		h.Set(request.HeaderTimeout, strconv.Itoa(s.kind.TimeoutMS))
	}
	if o.key != "" {
		h.Set(request.HeaderKey, o.key)
	}
	return req, nil
}

func (r *runner) exchange(ctx context.Context, s *shot, req *http.Request, o *outcome) {
	resp, v, err := r.opts.Sender.Send(ctx, s.kind.Service, clientAddr(r.blocks[s.region], s.client), req)
	o.verdict = v
	if err != nil {
		var told *client.Error
		o.answered = errors.As(err, &told)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.success = resp.StatusCode < http.StatusMultipleChoices
	head, err := io.ReadAll(io.LimitReader(resp.Body, smallAnswer))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	o.answered = true
	o.cut = err != nil
	o.checkAnswer(resp, head)
}

// checkAnswer notes which target ran the request, and whether a target's answer
// belongs to another request.
func (o *outcome) checkAnswer(resp *http.Response, body []byte) {
	if !o.success {
		return
	}
	o.crossed = resp.Header.Get(request.HeaderRequestID) != o.id
	if o.shot.kind.AnswerBytes > 0 || o.cut {
		return
	}
	var a targetd.Answer
	if json.Unmarshal(body, &a) != nil || a.RequestID != o.id {
		o.crossed = true
		return
	}
	o.target = a.Target
}

// wideBlock is the longest IPv4 prefix whose callers get a /24 block each.
const wideBlock = 16

// clientAddr returns the address of the n-th caller of an IPv4 block. In a wide
// block each caller stands in a /24 block of its own.
func clientAddr(block netip.Prefix, n int) netip.Addr {
	b := block.Addr().As4()
	if block.Bits() <= wideBlock {
		b[2] = byte(n)
		b[3] = 1
		return netip.AddrFrom4(b)
	}
	b[3] = byte(n)
	return netip.AddrFrom4(b)
}
