// Package memory accounts for the bytes and the descriptors that a host holds for its callers.
//
// An Account has a limit for each. A Holder is a connection that draws on it. When the account is short, the connections
// that hold the most for the least progress are ended, and then Take fails. memory.go has the account and its holders,
// stall.go the progress of a connection and the choice of those to end, budget.go the sizes.
package memory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrShort reports that the host has not the memory or the descriptors for something, also not after stalled
// connections were ended.
var ErrShort = errors.New("the host is short of memory or descriptors")

const (
	// Pieces above largeBytes are refused if less than 1/reservedShare of the limit would stay free, so that large
	// bodies leave room for the connections and heads of other callers.
	largeBytes    = 16 << 10
	reservedShare = 8
	// optionalShare is the part of the limit, as a divisor, up to which TakeOptional succeeds.
	optionalShare = 2
	// releaseTimeout limits how long a call waits until the connections that were ended for it have released
	// what they held, and releaseInterval is the time between two checks.
	releaseTimeout  = 100 * time.Millisecond
	releaseInterval = 2 * time.Millisecond
)

// Account counts the bytes and descriptors that are held. A nil account has no limits. It is safe for concurrent use.
type Account struct {
	limits Limits
	bytes  atomic.Int64
	// descriptors counts all that are open, callers those of callers' connections.
	descriptors, callers       atomic.Int64
	endedConns, endedBytes     atomic.Int64
	refusedBytes, refusedConns atomic.Int64

	// OnEnd is called when stalled connections were ended, and Reclaim, before that, to close connections to targets that
	// are idle. They may be nil, and are set before the first use.
	OnEnd   func(Ended)
	Reclaim func()

	mu      sync.Mutex
	holders map[*Holder]struct{}
	// searchedAt is when a search last found no stalled connection.
	searchedAt time.Time
}

// New returns an account with limits.
func New(limits Limits) *Account {
	return &Account{limits: limits, holders: make(map[*Holder]struct{})}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Stats are the figures of an account. Ended and refused ones are totals since the start.
type Stats struct {
	Bytes, Descriptors, CallerDescriptors int64
	EndedConns, EndedBytes                int64
	// RefusedBytes counts the refusals for lack of bytes, RefusedConns those for lack of descriptors.
	RefusedBytes, RefusedConns int64
}

// Stats returns the present figures.
func (a *Account) Stats() Stats {
	return Stats{
		Bytes: a.bytes.Load(), Descriptors: a.descriptors.Load(), CallerDescriptors: a.callers.Load(),
		EndedConns: a.endedConns.Load(), EndedBytes: a.endedBytes.Load(),
		RefusedBytes: a.refusedBytes.Load(), RefusedConns: a.refusedConns.Load(),
	}
}

// Open registers a connection with the bytes that it takes while idle, and its descriptor. end must close it without
// blocking; it may be called more than once. It returns ErrShort if there is no room.
func (a *Account) Open(name string, bytes int64, end func()) (*Holder, error) {
	if a == nil {
		return nil, nil
	}
	takeCaller := func() bool { return take(&a.callers, 1, a.limits.CallerDescriptors) }
	if !takeCaller() && !(a.endStalled(0, 1) && a.await(takeCaller)) {
		a.refusedConns.Add(1)
		return nil, errors.Wrapf(ErrShort, "callers have %d connections, which is the limit", a.limits.CallerDescriptors)
	}
	if err := a.TakeDescriptor(); err != nil {
		a.callers.Add(-1)
		return nil, err
	}
	h := &Holder{account: a, name: name, end: end}
	h.Progressed()
	if err := h.Take(bytes); err != nil {
		a.callers.Add(-1)
		a.ReleaseDescriptor()
		return nil, err
	}
	a.mu.Lock()
	a.holders[h] = struct{}{}
	a.mu.Unlock()
	return h, nil
}

// TakeDescriptor counts a descriptor that is not a caller's connection. ReleaseDescriptor ends it.
func (a *Account) TakeDescriptor() error {
	if a == nil {
		return nil
	}
	take := func() bool { return take(&a.descriptors, 1, a.limits.Descriptors) }
	if take() {
		return nil
	}
	if a.Reclaim != nil {
		a.Reclaim()
	}
	if take() || (a.endStalled(0, 1) && a.await(take)) {
		return nil
	}
	a.refusedConns.Add(1)
	return errors.Wrapf(ErrShort, "%d descriptors are open, which is the limit", a.limits.Descriptors)
}

// ReleaseDescriptor ends a TakeDescriptor.
func (a *Account) ReleaseDescriptor() {
	if a != nil {
		a.descriptors.Add(-1)
	}
}

// take adds n to a counter unless that exceeds the limit.
func take(counter *atomic.Int64, n, limit int64) bool {
	if counter.Add(n) <= limit {
		return true
	}
	counter.Add(-n)
	return false
}

// await repeats take until it succeeds or the time is up.
func (a *Account) await(take func() bool) bool {
	for end := time.Now().Add(releaseTimeout); time.Now().Before(end); time.Sleep(releaseInterval) {
		if take() {
			return true
		}
	}
	return false
}

// Holder is a connection of an account. A nil holder has no limits.
type Holder struct {
	account *Account
	name    string
	end     func()
	held    atomic.Int64
	// ended is true once the account has ended the connection.
	ended atomic.Bool
	// running counts the handlers that do not wait for the caller.
	running     atomic.Int32
	read, write direction
}

// Take adds bytes to what the connection holds. If the account is short, it ends stalled connections first.
// It returns ErrShort if that does not help, or if the connection itself was ended.
func (h *Holder) Take(n int64) error {
	if h == nil || n <= 0 {
		return nil
	}
	a := h.account
	limit := a.limits.Bytes
	if n > largeBytes {
		limit -= limit / reservedShare
	}
	take := func() bool { return take(&a.bytes, n, limit) }
	switch {
	case h.ended.Load():
		return errors.Wrap(ErrShort, "the connection was ended")
	case take(), a.endStalled(n, 0) && a.await(take):
		h.held.Add(n)
		return nil
	}
	a.refusedBytes.Add(1)
	return errors.Wrapf(ErrShort, "%d bytes are asked for, %d are held; the limit is %d", n, a.bytes.Load(), limit)
}

// TakeOptional is like Take for bytes that can be done without. It succeeds only while much of the account is
// free, and ends no connection.
func (h *Holder) TakeOptional(n int64) bool {
	if h == nil || n <= 0 {
		return true
	}
	if h.ended.Load() || !take(&h.account.bytes, n, h.account.limits.Bytes/optionalShare) {
		return false
	}
	h.held.Add(n)
	return true
}

// Release gives back bytes that were taken.
func (h *Holder) Release(n int64) {
	if h == nil || n <= 0 {
		return
	}
	h.held.Add(-n)
	h.account.bytes.Add(-n)
}

// Close gives back the descriptor and all bytes. The holder must not be used afterwards.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	delete(a.holders, h)
	a.mu.Unlock()
	a.bytes.Add(-h.held.Swap(0))
	a.callers.Add(-1)
	a.ReleaseDescriptor()
}

type contextKey struct{}

// NewContext returns a context that carries a holder.
func NewContext(ctx context.Context, h *Holder) context.Context {
	if h == nil {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holder that a context carries, or nil.
func FromContext(ctx context.Context) *Holder {
	h, _ := ctx.Value(contextKey{}).(*Holder)
	return h
}
