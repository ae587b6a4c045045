// Package httpapi writes the JSON answers of the product's own HTTP surface.
package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/ticket"
)

// Failure is the JSON form of a refused call.
type Failure struct {
	Error string `json:"error"`
	// Problems lists the faults of a ticket.
	Problems []ticket.Problem `json:"problems,omitempty"`
}

// Write answers with a value as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may be gone
}

// WriteError answers with the JSON form of an error.
func WriteError(w http.ResponseWriter, status int, err error) {
	failure := Failure{Error: err.Error()}
	var check *ticket.CheckError
	if errors.As(err, &check) {
		failure.Problems = check.Problems
	}
	Write(w, status, failure)
}
