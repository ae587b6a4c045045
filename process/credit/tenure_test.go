package credit

import (
	"testing"
	"time"
)

func TestRightEndsWithTheMajorityOfPromises(t *testing.T) {
	now := time.Unix(1000, 0)
	tenure := NewTenure("p", Row{Epoch: 3, Electors: []string{"a", "b", "c"}}, Row{Epoch: 2})
	tenure.Promised(now, "a", now)
	if tenure.Allowed(now) {
		t.Fatal("one promise of three gave the right")
	}
	sent := now.Add(-time.Second)
	tenure.Promised(now, "b", sent)
	if !tenure.Allowed(now) {
		t.Fatal("two promises of three gave no right")
	}
	end := sent.Add(PromiseTerm)
	if tenure.Allowed(end) || !tenure.Allowed(end.Add(-1)) {
		t.Fatal("the right does not end with the promise, counted from its asking")
	}
	if wait := tenure.Wait(now); wait.Short != withDrift(Term+ShortHold) || wait.Long != withDrift(Term+LongHold) {
		t.Fatalf("wait = %+v, want the longest life of the earlier loans", wait)
	}
}

func TestChangeOfElectorsNeedsBothMajorities(t *testing.T) {
	now := time.Unix(1000, 0)
	tenure := NewTenure("p", Row{Epoch: 1, Electors: []string{"a", "b", "c"}}, Row{})
	tenure.Promised(now, "a", now)
	tenure.Promised(now, "b", now)
	tenure.Electing([]string{"c", "d", "e"})
	if tenure.Allowed(now) {
		t.Fatal("the right holds without the new electors")
	}
	tenure.Promised(now, "c", now)
	tenure.Promised(now, "d", now)
	if !tenure.Allowed(now) {
		t.Fatal("both majorities gave no right")
	}
	tenure.Elected([]string{"c", "d", "e"})
	later := now.Add(PromiseTerm)
	tenure.Promised(later, "a", later)
	tenure.Promised(later, "b", later)
	if tenure.Allowed(later) {
		t.Fatal("electors of the old list keep the right alive")
	}
}
