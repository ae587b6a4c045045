package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Figures of the case slow-read.
const (
	uploadBytes = 1_000_000
	uploadLimit = 4 * time.Second
	// slowReadPause is for how long an upstream that reads slowly reads nothing of a body.
	slowReadPause = 2600 * time.Millisecond
	gracePeriod   = 6 * time.Second
	// lastCounted is how long after SIGTERM a request that counts is sent at most: its upstream would have ended it before
	// the last sixth of the grace period, which the rule excludes.
	lastCounted = time.Second
)

// slowRead: hosts are stopped with SIGTERM and started again in turn, while clients upload and a part of the uploads is
// read slowly.
func slowRead(path string, trouble bool) (int, error) {
	pauseEach := "3"
	if os.Getenv("SLOW") == "0" { // to tell the causes apart
		pauseEach = "0"
	}
	l, err := start(path, 7, 14, state, "-work", "400ms", "-pause-each", pauseEach, "-pause", slowReadPause.String())
	running = l
	if err != nil {
		return failed, err
	}
	defer l.stop()
	end := time.Now().Add(48 * time.Second)
	rolled := make(chan error, 1)
	go func() { rolled <- l.rollTerm(trouble, 5) }()
	body := bytes.Repeat([]byte("photograph "), uploadBytes/11)
	tries := l.population(24, 700*time.Millisecond, end, func(*client) (string, string, []byte, time.Duration) {
		return "POST", fmt.Sprint("/upload/64/", rand.N(1000)), body, uploadLimit
	})
	if err := <-rolled; err != nil {
		return failed, err
	}
	served, cut, counted := 0, 0, 0
	for _, t := range tries {
		switch {
		case t.status == 200 && t.err == nil:
			served++
		case (t.status == 502 || t.status == 504 || t.status == 0) && len(l.eventsOf(t.id, "begins")) > 0 && len(l.eventsOf(t.id, "ends")) == 0:
			cut++
			if l.brokenOff(t) {
				counted++
			}
		}
	}
	l.record.add("%d uploads, %d answered by their upstreams, %d that an upstream had begun had no answer of it", len(tries), served, cut)
	l.record.add("LOST: %d uploads were broken off while their upstreams were at work, after a SIGTERM of their host", counted)
	if served == 0 {
		return failed, fmt.Errorf("no upload was served")
	}
	if counted > 0 {
		return broken, nil
	}
	return held, nil
}

// brokenOff reports whether the rule LOST counts a try: it was sent before its host got SIGTERM or up to lastCounted after
// that, and ended between the SIGTERM and 1 s after the grace period, before its time limit; and one upstream had begun it,
// still ran and found its connection reset.
func (l *lab) brokenOff(t try) bool {
	t.at.mu.Lock()
	term := t.at.termAt
	t.at.mu.Unlock()
	if term.IsZero() || t.sent.After(term.Add(lastCounted)) || t.answered.Before(term) || t.answered.After(term.Add(gracePeriod+time.Second)) {
		return false
	}
	if t.answered.Sub(t.sent) >= uploadLimit {
		return false
	}
	begins, cuts := l.eventsOf(t.id, "begins"), l.eventsOf(t.id, "cut")
	if len(begins) != 1 || len(cuts) != 1 || cuts[0].upstream != begins[0].upstream || len(l.eventsOf(t.id, "ends")) > 0 {
		return false
	}
	l.record.add("LOST: %s at %s: SIGTERM came %+d ms after it was sent, status %d of the host's own %d ms after it was sent; upstream %s began it at %d ms and found its connection reset at %d ms",
		t.id, t.at.name, term.Sub(t.sent).Milliseconds(), t.status, t.answered.Sub(t.sent).Milliseconds(), begins[0].upstream,
		begins[0].at.Sub(t.sent).Milliseconds(), cuts[0].at.Sub(t.sent).Milliseconds())
	return true
}

// rollTerm stops some hosts with SIGTERM, one after the other, and starts each again once it has ended.
func (l *lab) rollTerm(trouble bool, count int) error {
	time.Sleep(8 * time.Second)
	for _, h := range l.hosts[:count] {
		if !trouble {
			time.Sleep(8 * time.Second)
			continue
		}
		process, ended := h.current()
		l.record.add("host %s gets SIGTERM", h.name)
		h.mu.Lock()
		h.termAt = time.Now()
		h.mu.Unlock()
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		select {
		case <-ended:
		case <-time.After(gracePeriod):
			l.record.add("host %s gets SIGKILL", h.name)
			_ = process.Process.Kill()
			<-ended
		}
		time.Sleep(500 * time.Millisecond)
		if err := l.startHost(h); err != nil {
			return err
		}
		if !l.awaitReady(h, 20*time.Second) {
			return fmt.Errorf("%s is not ready", h.name)
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return nil
}
