// Package requester is an HTTP client of a daemon's administration API. It sends
// and decodes JSON and turns error responses into Go errors.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// callTimeout bounds one request, including reading its response.
const callTimeout = 15 * clock.Second

// maxResponseBytes bounds how much of a response is read.
const maxResponseBytes = 64 << 20

// Errors of requests that a daemon answered.
var (
	// ErrConflict means that the configuration has changed since it was read.
	ErrConflict = errors.New("the configuration has changed since it was read")
	// ErrRefused means that the daemon answered with a 4xx status other than 412.
	ErrRefused = errors.New("refused")
	// ErrInvalid means that the daemon could not make sense of the request, with the status 400 or 422.
	// Such an error wraps ErrRefused too.
	ErrInvalid = errors.New("invalid")
)

// Requester sends requests to one daemon. Its exported fields are set before use.
type Requester struct {
	// Base is the URL of the daemon, such as "http://127.0.0.1:8080".
	BaseURL string
	// Token is the operator's bearer token.
	Token string
	// HTTPClient sends the requests; nil stands for http.DefaultClient.
	HTTPClient *http.Client
}

// Config returns the configuration in force at the daemon.
func (q *Requester) Config(ctx context.Context) (config inventory.Config, err error) {
	err = q.Call(ctx, http.MethodGet, "/v1/admin/config", nil, &config)
	return config, err
}

// ProposeChange proposes the delta and returns its revision. With dryRun the
// daemon only checks the delta, and the revision is the one that it would get. The
// error wraps ErrConflict if the configuration is no longer at the delta's base.
func (q *Requester) ProposeChange(ctx context.Context, delta inventory.Delta, dryRun bool) (revision int64, err error) {
	path := "/v1/admin/config"
	if dryRun {
		path += "?dry_run=true"
	}
	var response struct {
		Revision int64 `json:"revision"`
	}
	err = q.Call(ctx, http.MethodPost, path, delta, &response)
	return response.Revision, err
}

// Call sends body as JSON, or an empty body if it is nil, and decodes the JSON
// response into response, unless that is nil or the response has no body. An error
// names the method and path, and wraps ErrConflict for status 412 and ErrRefused
// for any other 4xx status.
func (q *Requester) Call(ctx context.Context, method, path string, body, response any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var payload []byte
	if body != nil {
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, q.BaseURL+path, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+q.Token)
	req.Header.Set("Content-Type", "application/json")
	return q.send(req, response)
}

// send sends the request and decodes its response as Call describes.
func (q *Requester) send(req *http.Request, response any) (err error) {
	client := q.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusPreconditionFailed {
		return fmt.Errorf("%w: %s", ErrConflict, problemText(body))
	}
	if res.StatusCode == http.StatusBadRequest || res.StatusCode == http.StatusUnprocessableEntity {
		return fmt.Errorf("%w (%w): %s: %s", ErrRefused, ErrInvalid, res.Status, problemText(body))
	}
	if res.StatusCode/100 == 4 {
		return fmt.Errorf("%w: %s: %s", ErrRefused, res.Status, problemText(body))
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", res.Status, problemText(body))
	}
	if response == nil || len(body) == 0 {
		return nil
	}
	return json.Unmarshal(body, response)
}

// problemText formats the problem details of an error response for people: title,
// detail and, where given, the entries that differ. A body that is no problem
// object is returned unchanged.
func problemText(body []byte) string {
	var problem struct {
		Title       string          `json:"title"`
		Detail      string          `json:"detail"`
		Differences json.RawMessage `json:"differences"`
	}
	if json.Unmarshal(body, &problem) != nil || problem.Title == "" {
		return string(body)
	}
	text := problem.Title
	if problem.Detail != "" {
		text += ": " + problem.Detail
	}
	if len(problem.Differences) > 0 {
		text += "\n" + string(problem.Differences)
	}
	return text
}
