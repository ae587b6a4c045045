package tables

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"quetzalknot/version/lookup"
)

// ServiceName is the net/rpc name of the service that serves tables to other hosts.
const ServiceName = "Tables"

const (
	// serveRate is the rate at which a host serves tables to all other hosts together, in
	// bytes per second.
	serveRate = 1 << 20
	// serveBurst is the number of bytes that may be served at once.
	serveBurst = 256 << 10
	// serveTimeout is the timeout of a call, including its wait for the rate limiter.
	serveTimeout = 3 * time.Second
)

var (
	// ErrNotFound reports that this host does not have the requested table or delta.
	ErrNotFound = errors.New("host does not have the table")
	// ErrRateLimited reports that the rate limit for serving tables is exceeded.
	ErrRateLimited = errors.New("rate limit for serving tables exceeded")
)

// ReadArgs are the arguments of Service.Read: a range of a stored table or delta.
type ReadArgs struct {
	Sum    lookup.Sum
	Offset int64
	Length int64
}

// ReadReply is the result of Service.Read. Data is empty behind the end of the object.
type ReadReply struct {
	Data []byte
}

// PingArgs are the arguments of Service.Ping.
type PingArgs struct{}

// PingReply is the result of Service.Ping.
type PingReply struct{}

// Ping returns at once, so that another host can measure the round-trip time.
func (s *Service) Ping(*PingArgs, *PingReply) error { return nil }

// servedTables holds the snapshot and the deltas that a host can serve to other hosts.
type servedTables struct {
	mu     sync.Mutex
	base   *lookup.Snapshot
	deltas map[lookup.Sum][]byte
}

func (s *servedTables) set(base *lookup.Snapshot, chain []*lookup.Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base, s.deltas = base, make(map[lookup.Sum][]byte)
	for _, d := range chain {
		s.deltas[d.Sum] = d.Encoded
	}
}

func (s *servedTables) read(ctx context.Context, args *ReadArgs) ([]byte, error) {
	s.mu.Lock()
	base, delta := s.base, s.deltas[args.Sum]
	s.mu.Unlock()
	if base != nil && base.Sum == args.Sum {
		return base.ReadRange(ctx, args.Offset, args.Length)
	}
	if delta == nil {
		return nil, ErrNotFound
	}
	size := int64(len(delta))
	from := min(max(args.Offset, 0), size)
	return delta[from:min(size, from+min(max(args.Length, 0), peerRange))], nil
}

// Service serves tables to other hosts over net/rpc.
type Service struct {
	loader *Loader
	limit  *rate.Limiter
}

// Service returns the receiver to register under ServiceName.
func (l *Loader) Service() *Service {
	return &Service{loader: l, limit: rate.NewLimiter(serveRate, serveBurst)}
}

// Read returns a range of a stored table or delta. The error may be ErrNotFound or
// ErrRateLimited.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	if s.limit.WaitN(ctx, int(min(max(args.Length, 1), peerRange))) != nil {
		return ErrRateLimited
	}
	data, err := s.loader.served.read(ctx, args)
	reply.Data = data
	s.loader.opts.Metrics.Counter("lookup.table_served_bytes").Add(int64(len(data)))
	return err
}
