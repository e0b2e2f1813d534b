package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"

	"yuccaspread/common/clock"
)

// maxReplyBytes is the maximum number of bytes read of one reply.
const maxReplyBytes = 64 << 20

// NewHTTP returns a client for a platform whose services are all below the URL
// base, such as "http://127.0.0.1:7000". The table uses the JSON form of the
// etcd version 3 key-value protocol, the object store plain GET, PUT and DELETE
// as S3 does. A nil httpClient stands for one with default timeouts.
func NewHTTP(base string, httpClient *http.Client) Client {
	if httpClient == nil {
		httpClient = newHTTPClient()
	}
	caller := httpCaller{base: strings.TrimRight(base, "/"), client: httpClient}
	return Client{
		Table:       &httpTable{caller},
		ObjectStore: &httpObjects{caller},
		VMList:      &httpVMs{caller},
		WeightStore: &httpWeights{caller},
	}
}

// Limits of the connections to the platform.
const (
	dialTimeout        = 1 * clock.Second
	idleTimeout        = 30 * clock.Second
	maxIdleConnections = 64
	// maxHeaderBytes is the largest size of the headers of a reply.
	maxHeaderBytes = 256 << 10
)

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout.Duration()}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     idleTimeout.Duration(),
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// httpCaller sends calls to the platform; it does not retry.
type httpCaller struct {
	base   string
	client *http.Client
}

// call sends one request and returns the body of a 2xx reply. mutates is set for
// calls that change the platform's state: if their reply is lost, their effect is
// unknown.
func (c httpCaller) call(ctx context.Context, op, method, path string, body []byte, mutates bool) (reply []byte, err error) {
	effect := NoEffect
	defer func() {
		if err != nil {
			err = &Error{Op: op, Effect: effect, Err: err}
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer func() {
		if errors.Is(err, context.DeadlineExceeded) {
			// The idle connections may be dead too; the next call opens a new one.
			c.client.CloseIdleConnections()
		}
	}()
	// Without GetBody the transport cannot send a body a second time by itself.
	req.GetBody = nil
	res, err := c.client.Do(req)
	if err != nil {
		if mutates && !errors.Is(err, syscall.ECONNREFUSED) {
			effect = EffectUnknown
		}
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	reply, err = io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		if mutates {
			effect = EffectUnknown
		}
		return nil, err
	}
	return reply, c.checkStatus(res.StatusCode, reply, mutates, &effect)
}

// checkStatus returns the error for a status, nil for 2xx, and sets effect to
// EffectUnknown if the call may have taken effect. The platform guarantees that a call
// answered with 4xx or 503 had no effect; any other failure may have taken
// effect.
func (c httpCaller) checkStatus(status int, reply []byte, mutates bool, effect *Effect) error {
	switch {
	case status/100 == 2:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status/100 == 4 || status == http.StatusServiceUnavailable:
		return &StatusError{Status: status, Text: firstLine(reply)}
	default:
		if mutates {
			*effect = EffectUnknown
		}
		return &StatusError{Status: status, Text: firstLine(reply)}
	}
}

func firstLine(reply []byte) string {
	line, _, _ := strings.Cut(string(reply), "\n")
	return line[:min(len(line), 200)]
}

type httpTable struct{ httpCaller }

// wireRow is a row in the JSON form of the etcd protocol: contents in base64,
// 64-bit numbers as strings.
type wireRow struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
}

type wireRange struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type wireOp struct {
	Put    *wireRow   `json:"request_put,omitempty"`
	Delete *wireRange `json:"request_delete_range,omitempty"`
	Range  *wireRange `json:"request_range,omitempty"`
}

type wireRows struct {
	Rows []wireRow `json:"kvs"`
}

// Read implements Table with one transaction without conditions.
func (t *httpTable) Read(ctx context.Context, keys ...string) (rows []Row, err error) {
	_, rows, err = t.transact(ctx, "table.read", Txn{}, keys, false)
	return rows, err
}

// Scan implements Table.
func (t *httpTable) Scan(ctx context.Context, prefix, from string, limit int) (rows []Row, err error) {
	start := max(prefix, from)
	body, err := json.Marshal(wireRange{Key: []byte(start), RangeEnd: prefixEnd(prefix), Limit: int64(limit)})
	if err != nil {
		return nil, err
	}
	reply, err := t.call(ctx, "table.scan", http.MethodPost, "/v3/kv/range", body, false)
	if err != nil {
		return nil, err
	}
	var response wireRows
	if err = json.Unmarshal(reply, &response); err != nil {
		return nil, &Error{Op: "table.scan", Effect: NoEffect, Err: err}
	}
	return toRows(response.Rows), nil
}

// Apply implements Table.
func (t *httpTable) Apply(ctx context.Context, txn Txn) (result TxnResult, err error) {
	keys := make([]string, 0, len(txn.Conditions))
	for _, c := range txn.Conditions {
		keys = append(keys, c.Key)
	}
	result, rows, err := t.transact(ctx, "table.apply", txn, keys, true)
	if !result.Applied {
		result.Rows = rows
	}
	return result, err
}

// transact sends one transaction. If mutates is set, it returns the rows of reads
// only if the conditions fail; otherwise it always returns them.
func (t *httpTable) transact(ctx context.Context, op string, txn Txn, reads []string, mutates bool) (result TxnResult, rows []Row, err error) {
	body, err := encodeTxn(txn, reads, mutates)
	if err != nil {
		return result, nil, err
	}
	reply, err := t.call(ctx, op, http.MethodPost, "/v3/kv/txn", body, mutates)
	if err != nil {
		return result, nil, err
	}
	var response struct {
		Header struct {
			Revision int64 `json:"revision,string"`
		} `json:"header"`
		Succeeded bool `json:"succeeded"`
		Responses []struct {
			Range *wireRows `json:"response_range"`
		} `json:"responses"`
	}
	if err = json.Unmarshal(reply, &response); err != nil {
		effect := NoEffect
		if mutates {
			effect = EffectUnknown
		}
		return result, nil, &Error{Op: op, Effect: effect, Err: err}
	}
	result = TxnResult{Applied: response.Succeeded, Version: response.Header.Revision}
	for _, r := range response.Responses {
		if r.Range != nil {
			rows = append(rows, toRows(r.Range.Rows)...)
		}
	}
	return result, rows, nil
}

func encodeTxn(txn Txn, reads []string, mutates bool) (body []byte, err error) {
	var req struct {
		Compare []wireCompare `json:"compare,omitempty"`
		Success []wireOp      `json:"success,omitempty"`
		Failure []wireOp      `json:"failure,omitempty"`
	}
	for _, c := range txn.Conditions {
		req.Compare = append(req.Compare, wireCompare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: c.Version})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			req.Success = append(req.Success, wireOp{Delete: &wireRange{Key: []byte(w.Key)}})
			continue
		}
		req.Success = append(req.Success, wireOp{Put: &wireRow{Key: []byte(w.Key), Value: w.Value}})
	}
	for _, key := range reads {
		op := wireOp{Range: &wireRange{Key: []byte(key)}}
		if mutates {
			req.Failure = append(req.Failure, op)
			continue
		}
		req.Success = append(req.Success, op)
	}
	return json.Marshal(req)
}

func toRows(in []wireRow) []Row {
	rows := make([]Row, 0, len(in))
	for _, r := range in {
		rows = append(rows, Row{Key: string(r.Key), Value: r.Value, Version: r.ModRevision})
	}
	return rows
}

// prefixEnd returns the first key after all keys with the prefix, or, if there is
// none, the protocol's marker for the end of the key space.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

type httpObjects struct{ httpCaller }

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// Get implements ObjectStore.
func (o *httpObjects) Get(ctx context.Context, name string) (value []byte, err error) {
	return o.call(ctx, "objects.get", http.MethodGet, objectPath(name), nil, false)
}

// Put implements ObjectStore.
func (o *httpObjects) Put(ctx context.Context, name string, value []byte) (err error) {
	_, err = o.call(ctx, "objects.put", http.MethodPut, objectPath(name), value, true)
	return err
}

// Delete implements ObjectStore.
func (o *httpObjects) Delete(ctx context.Context, name string) (err error) {
	_, err = o.call(ctx, "objects.delete", http.MethodDelete, objectPath(name), nil, true)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

type httpVMs struct{ httpCaller }

// VMs implements VMList.
func (v *httpVMs) VMs(ctx context.Context) (vms []VM, err error) {
	reply, err := v.call(ctx, "vms.list", http.MethodGet, "/vms", nil, false)
	if err != nil {
		return nil, err
	}
	if err = json.Unmarshal(reply, &vms); err != nil {
		return nil, &Error{Op: "vms.list", Effect: NoEffect, Err: err}
	}
	return vms, nil
}

type httpWeights struct{ httpCaller }

// Status implements WeightStore.
func (w *httpWeights) Status(ctx context.Context) (status WeightStatus, err error) {
	reply, err := w.call(ctx, "weights.status", http.MethodGet, "/weights", nil, false)
	if err != nil {
		return status, err
	}
	if err = json.Unmarshal(reply, &status); err != nil {
		return status, &Error{Op: "weights.status", Effect: NoEffect, Err: err}
	}
	return status, nil
}
