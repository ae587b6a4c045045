package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"quetzalknot/httpwire"
	"quetzalknot/version/httpapi"
)

// hostClient sends requests to hosts and reads their responses strictly.
var hostClient = &http.Client{Transport: httpwire.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// fetchJSON decodes the JSON response of a host into v, or returns the error that the response
// reports.
func fetchJSON(url string, v any) error {
	resp, err := hostClient.Get(url)
	if err != nil {
		return err
	}
	return decodeResponse(resp, v)
}

// printJSON prints the JSON response of a host.
func printJSON(url string) error {
	var v json.RawMessage
	if err := fetchJSON(url, &v); err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, v, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

// maxResponseBytes limits how much is read of a response.
const maxResponseBytes = 64 << 20

// decodeResponse decodes a JSON response into v, or returns the error that the response
// reports.
func decodeResponse(resp *http.Response, v any) error {
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxResponseBytes {
		return errors.Newf("the response has more than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode != http.StatusOK {
		var failure httpapi.ErrorResponse
		if json.Unmarshal(data, &failure) == nil && failure.Error != "" {
			return errors.New(failure.Error)
		}
		return errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(data))
	}
	return json.Unmarshal(data, v)
}
