// Package httpapi writes the JSON responses of the product's own HTTP API.
package httpapi

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/version/ticket"
)

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
	// Problems lists the problems found in a ticket.
	Problems []ticket.Problem `json:"problems,omitempty"`
}

// WriteJSON responds with a value as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the caller has disconnected
}

// WriteError responds with an error as JSON.
func WriteError(w http.ResponseWriter, status int, err error) {
	response := ErrorResponse{Error: err.Error()}
	var check *ticket.CheckError
	if errors.As(err, &check) {
		response.Problems = check.Problems
	}
	WriteJSON(w, status, response)
}
