package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store, in its JSON form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: rows with versions, and a feed of their changes.
type store struct {
	mu      sync.Mutex
	ver     int64
	rows    map[[3]string]row
	log     []row
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[[3]string]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: encoded, Ver: s.ver})
	s.wake()
}

func (s *store) apply(r row) {
	id := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers calls on a free loopback port and returns its address.
func (s *store) serve() (address string, err error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	mux.HandleFunc("POST /rows-tx", s.handleTx)
	go func() { _ = http.Serve(socket, mux) }()
	return socket.Addr().String(), nil
}

func (s *store) nowMS() int64 { return time.Since(s.started).Milliseconds() }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, each := range s.rows {
		if each.Table == q.Get("table") && each.Part == q.Get("part") && each.Key >= q.Get("from") && (q.Get("to") == "" || each.Key < q.Get("to")) {
			found = append(found, each)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(found) > limit
	reply(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has-more": more, "ver": s.ver, "now-ms": s.nowMS()})
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []row{}
		for _, each := range s.log {
			if each.Table == q.Get("table") && each.Ver > after {
				found = append(found, each)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": found, "ver": ver, "now-ms": s.nowMS()})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"rows": found, "ver": ver, "now-ms": s.nowMS()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleTx(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected-rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var differing []row
	for _, e := range call.Expected {
		if known := s.rows[[3]string{e.Table, e.Part, e.Key}]; known.Ver != e.Ver {
			differing = append(differing, known)
		}
	}
	if len(differing) > 0 {
		ver := s.ver
		s.mu.Unlock()
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": differing, "ver": ver, "now-ms": s.nowMS()})
		return
	}
	s.ver++
	for _, p := range call.Put {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, p := range call.Remove {
		p.Ver, p.Deleted, p.Value = s.ver, true, nil
		s.apply(p)
	}
	s.wake()
	ver := s.ver
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"ver": ver, "now-ms": s.nowMS()})
}
