// Package parser reads and writes workload traces as JSON lines: a header, the
// upstreams, then the scheduled changes of upstreams and the requests, each
// sorted by time.
package parser

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Trace is one recorded or generated workload.
type Trace struct {
	Header    Header
	Upstreams []Upstream
	// Changes and Requests are sorted by AtMS.
	Changes  []Change
	Requests []Request
}

// Header is the first line of a trace.
type Header struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Daemons is the number of daemons that callers are distributed over, above 0.
	Daemons int `json:"daemons"`
	// ReportEveryMS is the mean time between load reports of an upstream, above
	// 0, and ReportAgeMS the age of a report when it arrives.
	ReportEveryMS clock.Millis `json:"report_every_ms"`
	ReportAgeMS   clock.Millis `json:"report_age_ms"`
	// CacheAgeMS is the delay of cache events, CacheLoss the share of them that
	// is lost, in [0, 1].
	CacheAgeMS clock.Millis `json:"cache_age_ms"`
	CacheLoss  float64      `json:"cache_loss"`
	// HealthAgeMS is the delay until a failure or recovery of an upstream is
	// noticed.
	HealthAgeMS clock.Millis     `json:"health_age_ms"`
	Tiers       []inventory.Tier `json:"tiers"`
	Weights     map[string]int   `json:"weights"`
	// KindFloor and CheapKindShare are the limits of the same names.
	KindFloor      float64 `json:"kind_floor,omitempty"`
	CheapKindShare float64 `json:"cheap_kind_share,omitempty"`
	// NamesParts is set if callers name the part that their prompt shares with others, and
	// upstreams don't tell what they hold.
	NamesParts bool `json:"names_parts,omitempty"`
}

// Upstream is one engine of the trace.
type Upstream struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Region     string `json:"region"`
	Generation string `json:"generation"`
	Slots      int    `json:"slots"`
	// PrefillPerSecond is the prefill speed in tokens per second, above 0.
	PrefillPerSecond float64 `json:"prefill_per_second"`
	// GapMS is the time between output tokens while a single request is decoding;
	// each further request adds GapRequestMS.
	GapMS        float64 `json:"gap_ms"`
	GapRequestMS float64 `json:"gap_request_ms"`
	// CacheBlocks bounds the prefix cache, MemoryTokens the prompt and output
	// tokens of the running requests.
	CacheBlocks  int `json:"cache_blocks"`
	MemoryTokens int `json:"memory_tokens"`
}

// Change is a change of an upstream's speed, its failure or its recovery.
type Change struct {
	AtMS     clock.Millis `json:"at_ms"`
	Upstream string       `json:"upstream"`
	// Slowness multiplies all times of the upstream; 0 means that it fails.
	Slowness float64 `json:"slowness"`
}

// Request is one request of a caller.
type Request struct {
	AtMS         clock.Millis `json:"at_ms"`
	Daemon       int          `json:"daemon"`
	Organisation string       `json:"organisation"`
	Route        string       `json:"route"`
	Pool         string       `json:"pool"`
	Region       string       `json:"region"`
	Tier         int          `json:"tier"`
	DeadlineMS   clock.Millis `json:"deadline_ms"`
	// ObjectiveMS is the time by which the first token is promised, PatienceMS
	// the time at which the caller leaves if no token has come; 0 for none.
	ObjectiveMS  clock.Millis `json:"objective_ms,omitempty"`
	PatienceMS   clock.Millis `json:"patience_ms,omitempty"`
	PromptTokens int          `json:"prompt_tokens"`
	// OutputTokens is the length of the answer. Policies don't see it.
	OutputTokens int  `json:"output_tokens"`
	MaxTokens    int  `json:"max_tokens"`
	Idempotent   bool `json:"idempotent"`
	// Prefix identifies the text that the prompt begins with; PrefixTokens is its
	// length.
	Prefix       uint64 `json:"prefix"`
	PrefixTokens int    `json:"prefix_tokens"`
}

// line is one line of a trace file; exactly one field is set.
type line struct {
	Header   *Header   `json:"head,omitempty"`
	Upstream *Upstream `json:"upstream,omitempty"`
	Change   *Change   `json:"change,omitempty"`
	Request  *Request  `json:"request,omitempty"`
}

// ErrNotTrace is returned if the input does not begin with a valid header.
var ErrNotTrace = errors.New("not a trace")

// Read reads a whole trace. The error wraps ErrNotTrace if the header is missing
// or has no daemons or no report interval.
func Read(r io.Reader) (t Trace, err error) {
	lineNumber := 0
	defer func() {
		if err != nil {
			err = fmt.Errorf("read trace, line %d: %w", lineNumber, err)
		}
	}()
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var l line
		lineNumber++
		if err = decoder.Decode(&l); errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return t, err
		}
		if lineNumber == 1 && l.Header == nil {
			return t, ErrNotTrace
		}
		t.add(l)
	}
	if t.Header.Daemons <= 0 || t.Header.ReportEveryMS <= 0 {
		return t, ErrNotTrace
	}
	return t, nil
}

func (t *Trace) add(l line) {
	switch {
	case l.Header != nil:
		t.Header = *l.Header
	case l.Upstream != nil:
		t.Upstreams = append(t.Upstreams, *l.Upstream)
	case l.Change != nil:
		t.Changes = append(t.Changes, *l.Change)
	case l.Request != nil:
		t.Requests = append(t.Requests, *l.Request)
	}
}

// Write writes a whole trace.
func Write(w io.Writer, t Trace) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write trace: %w", err)
		}
	}()
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	lines := []line{{Header: &t.Header}}
	for i := range t.Upstreams {
		lines = append(lines, line{Upstream: &t.Upstreams[i]})
	}
	for i := range t.Changes {
		lines = append(lines, line{Change: &t.Changes[i]})
	}
	for i := range t.Requests {
		lines = append(lines, line{Request: &t.Requests[i]})
	}
	for _, l := range lines {
		if err = encoder.Encode(l); err != nil {
			return err
		}
	}
	return buffer.Flush()
}
