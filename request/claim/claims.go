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
	evOwnerFound    = eventlog.Define(4301, zerolog.InfoLevel, "owner of the idempotency key found")
	evCommitUnknown = eventlog.Define(4302, zerolog.WarnLevel, "outcome of the claim commit is unknown")
	evRowsDeleted   = eventlog.Define(4303, zerolog.InfoLevel, "expired claims and responses deleted")
)

const (
	claimPrefix    = "claim/"
	responsePrefix = "answer/"
	// maxStoredResponseBytes is the largest response body that is written to the table
	// service.
	maxStoredResponseBytes = 8 << 10
	// maxClockSkew is how far in the future the timestamp of a key may be.
	maxClockSkew = 5 * time.Minute
	// storeTimeout bounds the time until a response is written.
	storeTimeout = time.Minute
	// flushTimeout bounds the wait for responses to be written when the process stops.
	flushTimeout = 3 * time.Second
	// resolveRetryInterval is the time between two attempts to find the owner after a
	// commit that conflicted or whose outcome is unknown.
	resolveRetryInterval = 50 * time.Millisecond
)

// ErrExpired reports a key so old that its owner may have forgotten whether it ran, or
// a key whose timestamp is too far in the future.
var ErrExpired = errors.New("the idempotency key is too old")

var errNotMember = errors.New("this host is not a member yet")

// Ownership is the owner of a key and its expiry.
type Ownership struct {
	Owner Owner
	// Local is true when this process is the owner.
	Local bool
	// Expires is the time after which the owner may forget the key.
	Expires time.Time
}

// Options configure Claims.
type Options struct {
	// Self returns this process as an owner. Its host is empty while the process may
	// not own keys.
	Self  func() Owner
	Table platform.Table
	// KeyLifetime is how long a key is remembered.
	KeyLifetime time.Duration
	// MaxKeys is the maximum number of keys kept in memory, and MaxResponseBytes the
	// maximum size of all responses kept in memory.
	MaxKeys          int
	MaxResponseBytes int64
	// Hosts returns how many hosts share the table service.
	Hosts func() int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Claims finds the owners of keys and keeps the keys that this process owns.
type Claims struct {
	opts            Options
	Registry        *Registry
	batch           *batcher
	log             zerolog.Logger
	pendingStores   sync.WaitGroup
	rowsWritten     counter
	responsesStored counter
}

type counter interface{ Add(int64) }

// New returns Claims without keys. It registers its metrics with set.
func New(opts Options, set *metrics.Set, log zerolog.Logger) *Claims {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	c := &Claims{
		opts: opts, log: log, batch: newBatcher(opts.Table, opts.Hosts),
		Registry:    NewRegistry(opts.MaxKeys, opts.MaxResponseBytes, opts.Now),
		rowsWritten: set.Counter("claim.rows_written"), responsesStored: set.Counter("claim.answers_stored"),
	}
	set.Gauge("claim.keys_known", c.Registry.Len)
	return c
}

// Run commits queued rows and deletes expired ones until ctx ends.
func (c *Claims) Run(ctx context.Context) {
	go c.sweepLoop(ctx)
	c.batch.run(ctx)
}

// claimRow is the value of a row that claims a key in the table service.
type claimRow struct {
	Owner Owner     `json:"owner"`
	At    time.Time `json:"at"`
}

// FindOwner returns the owner of a key. A key without a prefix is owned by the process
// that first writes a row for it to the table service. Every error has the verdict
// may-have-run, since the request may have been sent before and reached an owner.
func (c *Claims) FindOwner(ctx context.Context, request, key string) (Ownership, error) {
	if expires, ok := c.Registry.Expiry(key); ok {
		return Ownership{Owner: c.opts.Self(), Local: true, Expires: expires}, nil
	}
	self := c.opts.Self()
	if self.Host == "" {
		return Ownership{}, verdict.Wrap(verdict.MayHaveRun, "claim", errNotMember)
	}
	if owner, at, ok := parsePrefix(key); ok {
		return c.checkAge(owner, at)
	}
	ownRow := claimRow{Owner: self, At: c.opts.Now().UTC()}
	data, err := json.Marshal(ownRow)
	if err != nil {
		return Ownership{}, err
	}
	write := platform.Write{Key: claimPrefix + key, Value: data}
	err = c.batch.write(ctx, write, true)
	if err == nil {
		c.rowsWritten.Add(1)
		evOwnerFound.Log(c.log).Str("request", request).Str("key", key).Str("owner", ownRow.Owner.Host).Bool("new", true).Send()
		return c.checkAge(ownRow.Owner, ownRow.At)
	}
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return Ownership{}, verdict.Wrap(verdict.MayHaveRun, "claim", err)
	}
	if errors.Is(err, platform.ErrUnknownOutcome) {
		evCommitUnknown.Log(c.log).Str("request", request).Str("key", key).Err(err).Send()
	}
	return c.resolveOwner(ctx, request, key, write)
}

// resolveOwner reads the owner of a key from the table service after a commit that
// conflicted or whose outcome is unknown. If there is no row, it repeats the commit.
// Repeating is safe, because the registry in memory alone decides whether this process
// has run the key.
func (c *Claims) resolveOwner(ctx context.Context, request, key string, write platform.Write) (Ownership, error) {
	for {
		row, err := c.opts.Table.Get(ctx, write.Key)
		switch {
		case err == nil:
			var claim claimRow
			if err := json.Unmarshal(row.Value, &claim); err != nil {
				return Ownership{}, verdict.Wrap(verdict.MayHaveRun, "claim", errors.Wrapf(err, "row %s", row.Key))
			}
			evOwnerFound.Log(c.log).Str("request", request).Str("key", key).Str("owner", claim.Owner.Host).Bool("new", false).Send()
			return c.checkAge(claim.Owner, claim.At)
		case errors.Is(err, platform.ErrNotFound):
			if err := c.batch.write(ctx, write, true); err == nil {
				return c.checkAge(c.opts.Self(), c.opts.Now())
			}
		}
		sleep(ctx, resolveRetryInterval)
		if ctx.Err() != nil {
			return Ownership{}, verdict.Wrap(verdict.MayHaveRun, "claim", context.Cause(ctx))
		}
	}
}

// checkAge returns the ownership of a key, or ErrExpired if the key is too old or its
// creation time is too far in the future.
func (c *Claims) checkAge(owner Owner, at time.Time) (Ownership, error) {
	now := c.opts.Now()
	ownership := Ownership{Owner: owner, Local: owner == c.opts.Self(), Expires: at.Add(c.opts.KeyLifetime)}
	if !ownership.Expires.After(now) || at.After(now.Add(maxClockSkew)) {
		return ownership, verdict.Wrap(verdict.MayHaveRun, "claim", errors.Wrapf(ErrExpired, "made at %v", at))
	}
	return ownership, nil
}

// storedResponse is the value of a row that holds a response in the table service.
type storedResponse struct {
	ContentHash ContentHash `json:"sum"`
	Response    Response    `json:"answer"`
	At          time.Time   `json:"at"`
}

// StoreResponse writes a short response to the table service in the background, so that it
// is available when this process is gone. It does not wait and gives no guarantee: a
// failed write is not reported.
func (c *Claims) StoreResponse(key string, hash ContentHash, resp Response) {
	if !resp.Whole || resp.Verdict != verdict.Ran || len(resp.Body) > maxStoredResponseBytes {
		return
	}
	data, err := json.Marshal(storedResponse{ContentHash: hash, Response: resp, At: c.opts.Now().UTC()})
	if err != nil {
		return
	}
	c.pendingStores.Add(1)
	go func() {
		defer c.pendingStores.Done()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		if c.batch.write(ctx, platform.Write{Key: responsePrefix + key, Value: data}, false) == nil {
			c.responsesStored.Add(1)
		}
	}()
}

// Flush waits until the responses passed to StoreResponse are written, for at most
// flushTimeout (3 s).
func (c *Claims) Flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		c.pendingStores.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// LoadResponse returns the response that an owner wrote before it was gone. The error is
// platform.ErrNotFound if there is none.
func (c *Claims) LoadResponse(ctx context.Context, key string) (ContentHash, Response, error) {
	row, err := c.opts.Table.Get(ctx, responsePrefix+key)
	if err != nil {
		return ContentHash{}, Response{}, err
	}
	var stored storedResponse
	err = json.Unmarshal(row.Value, &stored)
	return stored.ContentHash, stored.Response, err
}
