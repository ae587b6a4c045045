package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// filmBytes is the length of an upload, more than the sockets' buffers hold, and receiptBytes that of its answer.
	filmBytes, receiptBytes = 6_000_000, 2000
)

// resetAnswer: a part of the uploads is answered before the body is read, without a length, and some of these answers are
// reset on the way.
func resetAnswer(path string, trouble bool) (int, error) {
	even := []string{"-early-each", "20"}
	if trouble {
		even = append(even, "-reset-early")
	}
	l, err := startWith(path, options{hosts: 7, servers: 14, state: state, args: []string{"-work", "100ms"}, evenArgs: even})
	running = l
	if err != nil {
		return failed, err
	}
	defer l.stop()
	body := bytes.Repeat([]byte("photograph "), filmBytes/11)
	tries := l.population(12, 700*time.Millisecond, time.Now().Add(90*time.Second), func(*client) (string, string, []byte, time.Duration) {
		return "POST", fmt.Sprintf("/upload/%d/%d", receiptBytes, rand.N(1_000_000)), body, uploadLimit
	})
	return l.checkAnswers(tries, len(l.eventsOf("", "resets")), "answers reset on the way", trouble)
}

// checkAnswers counts the successes that do not have the whole body of the upstream's answer (rule MIXED). troubles is how
// often the disruption came about.
func (l *lab) checkAnswers(tries []try, troubles int, what string, trouble bool) (int, error) {
	whole, wrong := 0, 0
	for _, t := range tries {
		if t.status != 200 || t.err != nil || !t.stamped {
			continue
		}
		want := wholeBody(t.path, t.id)
		equal, start := isPrefix(t.body, want)
		if equal {
			whole++
			continue
		}
		wrong++
		l.record.add("MIXED: %s got a complete success (%s) with %d bytes; the upstream's whole body has %d; a start of it: %v", t.id, t.framed, len(t.body), len(want), start)
		for _, e := range l.eventsOf(t.id, "") {
			l.record.add("MIXED:   upstream %s %s at %d %s", e.upstream, e.name, e.at.Sub(l.record.start).Milliseconds(), e.more)
		}
	}
	l.record.add("%d requests, %d whole successes, %d %s", len(tries), whole, troubles, what)
	l.record.add("MIXED: %d successes without the whole body", wrong)
	if whole == 0 || (trouble && troubles == 0) {
		return failed, fmt.Errorf("no request was served, or there was no trouble")
	}
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
