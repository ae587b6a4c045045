package load

import "time"

// PlannedRequest is one request at a fixed time.
type PlannedRequest struct {
	// Kind describes the request; results are grouped by its name.
	Kind Kind
	At   time.Duration
	// RunMS is the run time that the request asks for, in milliseconds.
	RunMS float64
	// Region is an index into Options.Regions, Client the caller's number within
	// the region's address block.
	Region int
	Client int
	// ID is the request id. Requests with the same ID and Key are resends of one request.
	ID  string
	Key string
}

// PlanRequests generates the same requests of the kinds as Run does.
func PlanRequests(kinds []Kind, regions []string, seed uint64, duration time.Duration, runID string) []PlannedRequest {
	var planned []PlannedRequest
	for i := range kinds {
		for _, s := range schedule(&kinds[i], regions, seed, duration) {
			p := PlannedRequest{Kind: kinds[i], At: s.at, RunMS: s.runMS, Region: s.region, Client: s.client, ID: s.id(runID)}
			if kinds[i].Keyed {
				p.Key = "key-" + p.ID
			}
			planned = append(planned, p)
		}
	}
	return planned
}

// scheduledFromPlan returns the scheduled form of a planned request.
func scheduledFromPlan(p *PlannedRequest) scheduledRequest {
	return scheduledRequest{
		kind: &p.Kind, at: p.At, runMS: p.RunMS, region: p.Region, client: p.Client, fixedID: p.ID, fixedKey: p.Key,
	}
}
