package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// caller sends requests one after the other, without retries, to the daemon
// that comes first in its cached list of addresses.
type caller struct {
	fleet      *fleet
	client     *http.Client
	address    string
	resolvedBy string
	validUntil time.Time
	// streamTokens is the length of a stream in tokens; 0 means 60.
	streamTokens int
}

// refresh gets the addresses from the first daemon that answers, as a new caller
// does.
func (c *caller) refresh() (err error) {
	for i := range c.fleet.regions {
		var answer struct {
			Addresses []struct {
				Address string `json:"address"`
			} `json:"addresses"`
			LifetimeMS clock.Millis `json:"lifetime_ms"`
		}
		err = c.fleet.get(fmt.Sprintf("LISTEN_%d", i), "/v1/addresses?region=wien-a", &answer)
		if err == nil {
			c.address = answer.Addresses[0].Address
			c.resolvedBy = fmt.Sprint(i)
			c.validUntil = time.Now().Add(answer.LifetimeMS.Duration())
			return nil
		}
	}
	return err
}

// send requests a stream or a booking and returns an error unless the answer is
// complete.
func (c *caller) send(stream bool) (err error) {
	if time.Now().After(c.validUntil) {
		if err = c.refresh(); err != nil {
			return err
		}
	}
	path, body := "/bookings", `{"seat":1}`
	if stream {
		tokens := cmp.Or(c.streamTokens, 60)
		path, body = "/v1/completions", fmt.Sprintf(`{"model":"tent-guide","prompt":"when is sunset","max_tokens":%d,"stream":true}`, tokens)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if !stream {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	res, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	complete := stream && strings.Contains(string(answer), "data: [DONE]") || !stream && json.Valid(answer)
	if res.StatusCode != http.StatusOK || !complete {
		return fmt.Errorf("%s: %d bytes, ending %q", res.Status, len(answer), answer[max(0, len(answer)-200):])
	}
	return nil
}

// TestPlannedStopsInterruptNoRequests stops and restarts each daemon under load.
// It fails if a caller that honours the lifetime of its cached addresses loses
// a request, as it does if a daemon stops accepting before that lifetime ends.
func TestPlannedStopsInterruptNoRequests(t *testing.T) {
	const callers = 8
	edit := func(c *inventory.Config) { c.Limits.AddressLifetimeMS = clock.Second }
	f := newFleet(t, edit, "wien-a", "wien-a", "graz-a")
	var wait sync.WaitGroup
	var sent, failed atomic.Int64
	stop := make(chan struct{})
	for n := range callers {
		wait.Go(func() {
			c := &caller{fleet: f, client: &http.Client{Transport: &http.Transport{}}}
			for number := n; ; number++ {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if err := c.send(number%4 != 0); err != nil {
					failed.Add(1)
					t.Errorf("caller %d: %s from daemon %s: %v", n, c.address, c.resolvedBy, err)
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for _, i := range []int{1, 2, 0} {
		before := sent.Load()
		f.stopDaemon(i, i == 2)
		if sent.Load() == before {
			t.Errorf("no requests were sent while daemon %d stopped", i)
		}
		f.startDaemon(i)
		f.awaitReady(i)
	}
	close(stop)
	wait.Wait()
	t.Logf("%d requests, %d failed", sent.Load(), failed.Load())
	f.awaitInForce(1, len(f.regions))
}
