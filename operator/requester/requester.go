// Package requester calls the administration API of a daemon.
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

// callTimeout bounds one call.
const callTimeout = 15 * clock.Second

// maxReplyBytes bounds what is read of a reply.
const maxReplyBytes = 64 << 20

// Errors of calls that a daemon answered.
var (
	// ErrConflict means that the configuration has changed since it was read.
	ErrConflict = errors.New("the configuration has changed since it was read")
	// ErrRefused means that the daemon did not do what was asked.
	ErrRefused = errors.New("refused")
)

// Requester calls one daemon. Its exported fields are set before use.
type Requester struct {
	// Base is the URL of the daemon, such as "http://127.0.0.1:8080".
	Base string
	// Token is the operator's bearer token.
	Token string
	// Client sends the calls; nil stands for http.DefaultClient.
	Client *http.Client
}

// Config returns the configuration in force at the daemon.
func (q *Requester) Config(ctx context.Context) (config inventory.Config, err error) {
	err = q.Call(ctx, http.MethodGet, "/v1/admin/config", nil, &config)
	return config, err
}

// Change proposes the delta and returns the revision that it became, or would
// become where dryRun is set.
func (q *Requester) Change(ctx context.Context, delta inventory.Delta, dryRun bool) (revision int64, err error) {
	path := "/v1/admin/config"
	if dryRun {
		path += "?dry_run=true"
	}
	var answer struct {
		Revision int64 `json:"revision"`
	}
	err = q.Call(ctx, http.MethodPost, path, delta, &answer)
	return answer.Revision, err
}

// Call sends body as JSON, unless it is nil, and decodes the reply into reply.
func (q *Requester) Call(ctx context.Context, method, path string, body, reply any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%s %s: %w", method, path, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var content []byte
	if body != nil {
		if content, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, q.Base+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+q.Token)
	req.Header.Set("Content-Type", "application/json")
	return q.send(req, reply)
}

func (q *Requester) send(req *http.Request, reply any) (err error) {
	client := q.Client
	if client == nil {
		client = http.DefaultClient
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if res.StatusCode == http.StatusPreconditionFailed {
		return fmt.Errorf("%w: %s", ErrConflict, reason(content))
	}
	if res.StatusCode/100 == 4 {
		return fmt.Errorf("%w: %s: %s", ErrRefused, res.Status, reason(content))
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", res.Status, reason(content))
	}
	if reply == nil || len(content) == 0 {
		return nil
	}
	return json.Unmarshal(content, reply)
}

// reason returns the words of a problem for a person: its detail, and the
// entries that differ where it names any. Other content is returned as it is.
func reason(content []byte) string {
	var problem struct {
		Title       string          `json:"title"`
		Detail      string          `json:"detail"`
		Differences json.RawMessage `json:"differences"`
	}
	if json.Unmarshal(content, &problem) != nil || problem.Title == "" {
		return string(content)
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
