package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	pageBytes = 200_000
	pageLimit = 4 * time.Second
	// crashes is how often an upstream is killed, and crashGap the time between.
	crashes  = 8
	crashGap = 5 * time.Second
)

// noLength: upstreams are killed, one at a time, while they send an answer that has no length.
func noLength(path string, trouble bool) (int, error) {
	l, err := startWith(path, options{
		hosts: 7, servers: 14, state: state, args: []string{"-work", "800ms", "-pieces", "8"}, evenArgs: []string{"-unframed-each", "20"},
	})
	running = l
	if err != nil {
		return failed, err
	}
	defer l.stop()
	end := time.Now().Add(crashes*crashGap + 6*time.Second)
	crashed := make(chan int, 1)
	go func() { crashed <- l.crashServers(trouble) }()
	tries := l.population(40, 300*time.Millisecond, end, func(*client) (string, string, []byte, time.Duration) {
		return "GET", fmt.Sprintf("/safe/%d/%d", pageBytes, rand.N(1_000_000)), nil, pageLimit
	})
	return l.checkAnswers(tries, <-crashed, "upstreams killed", trouble)
}

// crashServers kills an upstream that sends an answer without a length, crashes times, and returns how many were killed.
func (l *lab) crashServers(trouble bool) int {
	kills := 0
	time.Sleep(5 * time.Second)
	for range crashes {
		next := time.Now().Add(crashGap)
		for trouble && time.Now().Before(next) {
			if s := l.sendsWithoutLength(); s != nil {
				s.mu.Lock()
				l.record.add("upstream %s gets SIGKILL", s.id)
				_ = s.process.Process.Kill()
				s.mu.Unlock()
				kills++
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Until(next))
	}
	return kills
}

// sendsWithoutLength returns an upstream that has begun an answer without a length within the last 200 ms.
func (l *lab) sendsWithoutLength() *server {
	open := ""
	for _, e := range l.eventsOf("", "answers-without-length") {
		if time.Since(e.at) < 200*time.Millisecond {
			open = e.upstream
		}
	}
	for _, s := range l.servers {
		s.mu.Lock()
		is := s.up && s.id == open
		s.mu.Unlock()
		if is {
			return s
		}
	}
	return nil
}
