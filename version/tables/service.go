package tables

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"quetzalknot/version/lookup"
)

// ServiceName is the net/rpc name of the service that passes tables on.
const ServiceName = "Tables"

const (
	// servedRate is the rate at which one host passes tables on to all others, in
	// bytes a second.
	servedRate = 1 << 20
	// servedBurst is what may go out at once.
	servedBurst = 256 << 10
	// servedWait is how long a call waits for its turn.
	servedWait = 3 * time.Second
)

var (
	// ErrNotHere reports that a host does not have the table that it was asked for.
	ErrNotHere = errors.New("the table is not here")
	// ErrBusy reports that a host passes on as much as it may.
	ErrBusy = errors.New("the host passes on as many bytes as it may")
)

// ReadArgs ask for a part of a stored table or delta.
type ReadArgs struct {
	Sum    lookup.Sum
	Offset int64
	Length int64
}

// ReadReply is a part; it is empty behind the end.
type ReadReply struct {
	Data []byte
}

// served is what a host can pass on.
type served struct {
	mu     sync.Mutex
	base   *lookup.Snapshot
	deltas map[lookup.Sum][]byte
}

func (s *served) set(base *lookup.Snapshot, chain []*lookup.Delta) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.base, s.deltas = base, make(map[lookup.Sum][]byte)
	for _, d := range chain {
		s.deltas[d.Sum] = d.Stored
	}
}

func (s *served) read(ctx context.Context, args *ReadArgs) ([]byte, error) {
	s.mu.Lock()
	base, delta := s.base, s.deltas[args.Sum]
	s.mu.Unlock()
	if base != nil && base.Sum == args.Sum {
		return base.ReadRange(ctx, args.Offset, args.Length)
	}
	if delta == nil {
		return nil, ErrNotHere
	}
	size := int64(len(delta))
	from := min(max(args.Offset, 0), size)
	return delta[from:min(size, from+min(max(args.Length, 0), peerRange))], nil
}

// Service answers other hosts over net/rpc.
type Service struct {
	keeper *Keeper
	limit  *rate.Limiter
}

// Service returns the receiver to register under ServiceName.
func (k *Keeper) Service() *Service {
	return &Service{keeper: k, limit: rate.NewLimiter(servedRate, servedBurst)}
}

// Read returns a part of a table, ErrNotHere or ErrBusy.
func (s *Service) Read(args *ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), servedWait)
	defer cancel()
	if s.limit.WaitN(ctx, int(min(max(args.Length, 1), peerRange))) != nil {
		return ErrBusy
	}
	data, err := s.keeper.served.read(ctx, args)
	reply.Data = data
	s.keeper.opts.Metrics.Counter("lookup.table_served_bytes").Add(int64(len(data)))
	return err
}
