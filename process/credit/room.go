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
}

// Want implements slots.Room.
func (s *Service) Want(asks []slots.Ask, waiting bool) {
	if len(asks) == 0 {
		return
	}
	names := make([]string, len(asks))
	for i := range asks {
		names[i] = asks[i].Target.Name
	}
	key := DemandKey{Service: asks[0].Target.Service, Lane: asks[0].Lane}
	s.mu.Lock()
	defer s.mu.Unlock()
	if waiting {
		s.holder.Want(time.Now(), key, names)
	} else {
		s.holder.Spare(time.Now(), key, names)
	}
	s.trigger()
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
	var once sync.Once
	return func() { once.Do(func() { s.release(c) }) }, true
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
