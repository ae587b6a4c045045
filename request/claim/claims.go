package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"quetzalknot/platform"
	"quetzalknot/process/eventlog"
	"quetzalknot/process/metrics"
	"quetzalknot/verdict"
)

var (
	evClaimed = eventlog.Define(4301, zerolog.InfoLevel, "owner of the key found")
	evUnknown = eventlog.Define(4302, zerolog.WarnLevel, "outcome of the claim is unknown")
	evSwept   = eventlog.Define(4303, zerolog.InfoLevel, "old claims deleted")
)

const (
	claimPrefix  = "claim/"
	answerPrefix = "answer/"
	// storedAnswerBytes is the largest answer body that is written to the table service.
	storedAnswerBytes = 8 << 10
	// clockSkew is how far in the future a prefix may have been made.
	clockSkew = 5 * time.Minute
	// keepTimeout is how long an answer may wait to be written.
	keepTimeout = time.Minute
	// flushTimeout bounds the wait for answers at a stop.
	flushTimeout = 3 * time.Second
	// resolvePause is the time between two tries to find out what became of a commit.
	resolvePause = 50 * time.Millisecond
)

// ErrExpired reports a key that was made too long ago to know whether it ran.
var ErrExpired = errors.New("the idempotency key is too old")

var errNotMember = errors.New("this host is not a member yet")

// Place says who runs a key.
type Place struct {
	Owner Owner
	// Mine is true when this process is the owner.
	Mine bool
	// Expires is when the owner may forget the key.
	Expires time.Time
}

// Options configure Claims.
type Options struct {
	// Self returns this process; its host is empty while it can own no key.
	Self  func() Owner
	Table platform.Table
	// Keep is how long a key is known.
	Keep time.Duration
	// Keys and AnswerBytes bound the memory.
	Keys        int
	AnswerBytes int64
	// Hosts returns how many hosts share the table service.
	Hosts func() int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Claims finds the owner of each key and remembers those of this process.
type Claims struct {
	opts     Options
	Registry *Registry
	batch    *batcher
	log      zerolog.Logger
	keeping  sync.WaitGroup
	rows     counter
	stored   counter
}

type counter interface{ Add(int64) }

// New returns claims without keys.
func New(opts Options, set *metrics.Set, log zerolog.Logger) *Claims {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	c := &Claims{
		opts: opts, log: log, batch: newBatcher(opts.Table, opts.Hosts),
		Registry: NewRegistry(opts.Keys, opts.AnswerBytes, opts.Now),
		rows:     set.Counter("claim.rows_written"), stored: set.Counter("claim.answers_stored"),
	}
	set.Gauge("claim.keys_known", c.Registry.Len)
	return c
}

// Run commits rows and deletes old ones until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	go c.sweepLoop(ctx)
	c.batch.run(ctx)
}

// claimRow is the value of a claim in the table service.
type claimRow struct {
	Owner Owner     `json:"owner"`
	At    time.Time `json:"at"`
}

// Place returns the owner of a key. A key without a prefix gets one by a row in the
// table service. Every error has the verdict may-have-run, since an earlier sending
// of the request may have found an owner.
func (c *Claims) Place(ctx context.Context, request, key string) (Place, error) {
	if expires, ok := c.Registry.Known(key); ok {
		return Place{Owner: c.opts.Self(), Mine: true, Expires: expires}, nil
	}
	self := c.opts.Self()
	if self.Host == "" {
		return Place{}, verdict.Wrap(verdict.MayHaveRun, "claim", errNotMember)
	}
	if owner, at, ok := parsePrefix(key); ok {
		return c.place(owner, at)
	}
	claim := claimRow{Owner: self, At: c.opts.Now().UTC()}
	data, err := json.Marshal(claim)
	if err != nil {
		return Place{}, err
	}
	write := platform.Write{Key: claimPrefix + key, Value: data}
	err = c.batch.write(ctx, write, true)
	if err == nil {
		c.rows.Add(1)
		evClaimed.Log(c.log).Str("request", request).Str("key", key).Str("owner", claim.Owner.Host).Bool("new", true).Send()
		return c.place(claim.Owner, claim.At)
	}
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return Place{}, verdict.Wrap(verdict.MayHaveRun, "claim", err)
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		evUnknown.Log(c.log).Str("request", request).Str("key", key).Err(err).Send()
	}
	return c.resolve(ctx, request, key, write)
}

// resolve reads who owns a key after a commit that found a row, or of which the
// answer was lost. Whatever this process wrote, its own memory says whether it has
// run the key, so a commit may be repeated.
func (c *Claims) resolve(ctx context.Context, request, key string, write platform.Write) (Place, error) {
	for {
		known, err := c.opts.Table.Get(ctx, write.Key)
		switch {
		case err == nil:
			var claim claimRow
			if err := json.Unmarshal(known.Value, &claim); err != nil {
				return Place{}, verdict.Wrap(verdict.MayHaveRun, "claim", errors.Wrapf(err, "row %s", known.Key))
			}
			evClaimed.Log(c.log).Str("request", request).Str("key", key).Str("owner", claim.Owner.Host).Bool("new", false).Send()
			return c.place(claim.Owner, claim.At)
		case errors.Is(err, platform.ErrNotFound):
			if err := c.batch.write(ctx, write, true); err == nil {
				return c.place(c.opts.Self(), c.opts.Now())
			}
		}
		pause(ctx, resolvePause)
		if ctx.Err() != nil {
			return Place{}, verdict.Wrap(verdict.MayHaveRun, "claim", context.Cause(ctx))
		}
	}
}

// place applies the age limit.
func (c *Claims) place(owner Owner, at time.Time) (Place, error) {
	now := c.opts.Now()
	p := Place{Owner: owner, Mine: owner == c.opts.Self(), Expires: at.Add(c.opts.Keep)}
	if !p.Expires.After(now) || at.After(now.Add(clockSkew)) {
		return p, verdict.Wrap(verdict.MayHaveRun, "claim", errors.Wrapf(ErrExpired, "made at %v", at))
	}
	return p, nil
}

// storedAnswer is the value of an answer in the table service.
type storedAnswer struct {
	Sum    Sum       `json:"sum"`
	Answer Answer    `json:"answer"`
	At     time.Time `json:"at"`
}

// Keep writes a short answer to the table service, so that it can be had when this
// process is gone. It does not wait and gives no promise.
func (c *Claims) Keep(key string, sum Sum, a Answer) {
	if !a.Whole || a.Verdict != verdict.Ran || len(a.Body) > storedAnswerBytes {
		return
	}
	data, err := json.Marshal(storedAnswer{Sum: sum, Answer: a, At: c.opts.Now().UTC()})
	if err != nil {
		return
	}
	c.keeping.Add(1)
	go func() {
		defer c.keeping.Done()
		ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
		defer cancel()
		if c.batch.write(ctx, platform.Write{Key: answerPrefix + key, Value: data}, false) == nil {
			c.stored.Add(1)
		}
	}()
}

// Flush waits until the answers given to Keep are written, at most 3 s.
func (c *Claims) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		c.keeping.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Stored returns the answer that a process that is gone has left, or
// platform.ErrNotFound.
func (c *Claims) Stored(ctx context.Context, key string) (Sum, Answer, error) {
	known, err := c.opts.Table.Get(ctx, answerPrefix+key)
	if err != nil {
		return Sum{}, Answer{}, err
	}
	var stored storedAnswer
	err = json.Unmarshal(known.Value, &stored)
	return stored.Sum, stored.Answer, err
}
