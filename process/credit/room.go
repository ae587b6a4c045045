package credit

import (
	"sync"
	"time"

	"quetzalknot/process/slots"
)

var _ slots.Room = (*Service)(nil)

// Free implements slots.Room.
func (s *Service) Free(a slots.Ask) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Spot(time.Now(), a.Target, a.Lane).Free
}

// InFlight implements slots.Room.
func (s *Service) InFlight(t slots.Target) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Spot(time.Now(), t, slots.Short).InFlight
}

// Survey implements slots.Room.
func (s *Service) Survey(asks []slots.Ask, spots []slots.Spot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for i := range asks {
		spots[i] = s.holder.Spot(now, asks[i].Target, asks[i].Lane)
	}
	if len(asks) > 0 {
		s.lists[DemandKey{Service: asks[0].Target.Service, Lane: asks[0].Lane}] = asks
	}
}

// Want implements slots.Room.
func (s *Service) Want(asks []slots.Ask) {
	if len(asks) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.want(time.Now(), asks)
}

func (s *Service) want(now time.Time, asks []slots.Ask) {
	key := DemandKey{Service: asks[0].Target.Service, Lane: asks[0].Lane}
	s.holder.Want(now, key, s.names(key, asks))
	s.trigger()
}

// names returns the targets of asks, made once for each list of asks.
func (s *Service) names(key DemandKey, asks []slots.Ask) []string {
	known := s.nameLists[key]
	if len(known.names) == len(asks) && known.first == &asks[0] {
		return known.names
	}
	names := make([]string, len(asks))
	for i := range asks {
		names[i] = asks[i].Target.Name
	}
	s.nameLists[key] = nameList{first: &asks[0], names: names}
	return names
}

// Acquire implements slots.Room. The term of the loan is checked here. It
// refuses a request that could outlast the bound of its lane.
func (s *Service) Acquire(a slots.Ask) (func(), bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if a.Until.After(now.Add(Hold(a.Lane))) {
		return nil, false
	}
	c, ok := s.holder.Take(now, a.Target, a.Lane)
	if !ok {
		return nil, false
	}
	s.prefetch(now, DemandKey{Service: a.Target.Service, Lane: a.Lane})
	var once sync.Once
	return func() { once.Do(func() { s.release(c) }) }, true
}

// prefetch asks for one more slot when the last unused one was taken.
func (s *Service) prefetch(now time.Time, key DemandKey) {
	asks := s.lists[key]
	for i := range asks {
		if s.holder.Spot(now, asks[i].Target, key.Lane).Free > 0 {
			return
		}
	}
	if len(asks) > 0 {
		s.want(now, asks)
	}
}

func (s *Service) release(c *credit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.Release(time.Now(), c)
	s.wake(c.Target.Service)
	if l := s.holder.line(c.granter); l.scarce {
		s.trigger()
	}
}

// Hold implements slots.Room.
func (s *Service) Hold(lane slots.Lane) time.Duration { return Hold(lane) }

// Changed implements slots.Room.
func (s *Service) Changed(service string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	waker := s.wakers[service]
	if waker == nil {
		waker = make(chan struct{})
		s.wakers[service] = waker
	}
	return waker
}

func (s *Service) wake(service string) {
	if waker := s.wakers[service]; waker != nil {
		close(waker)
		delete(s.wakers, service)
	}
}

// trigger lets the borrowing loop run at once.
func (s *Service) trigger() {
	select {
	case s.triggers <- struct{}{}:
	default:
	}
}
