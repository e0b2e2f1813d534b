// Package registrar is a stand-in for the metadata store of the users' platform:
// tables of versioned rows with a feed of their changes, and raw objects. It keeps
// all data in memory.
package registrar

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// Limits of the store.
const (
	maxBodyBytes = 8 << 20
	// maxPageRows is the largest number of rows in one reply.
	maxPageRows = 500
	// maxFeedWait bounds how long a feed call waits for changes.
	maxFeedWait = 30 * time.Second
)

// Row is the JSON form of a row.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

func (r Row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// Registrar holds the rows and objects. The zero value is empty and ready to use.
type Registrar struct {
	mu sync.Mutex
	contents
	objects map[string][]byte
	// restores counts the restores from copied.
	restores atomic.Int64
	copied   contents
	// changed is closed and replaced at every change, to wake the waiting feeds.
	changed chan struct{}
	started time.Time
}

// contents are the rows and their history.
type contents struct {
	version int64
	rows    map[rowID]Row
	// history holds the changes in the order of their versions. Those up to version
	// droppedUpTo have been dropped.
	history     []Row
	droppedUpTo int64
}

func (c contents) clone() contents {
	c.rows, c.history = maps.Clone(c.rows), slices.Clone(c.history)
	return c
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// Copy keeps a copy of the rows for Restore.
func (s *Registrar) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = s.clone()
}

// Restore replaces the rows by those of the last copy. What was written since is gone, and
// its versions are given out again.
func (s *Registrar) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = s.copied.clone()
	s.restores.Add(1)
	s.notifyFeeds()
}

// Register adds the handlers to router. The paths under /standin are for tests and
// for the stand-ins of workers and operators, which may write any table.
func (s *Registrar) Register(router *mux.Router) {
	router.Use(s.nameEra)
	router.HandleFunc("/rows-tx", s.serveTxn).Methods(http.MethodPost)
	router.HandleFunc("/rows-get", s.serveGetRows).Methods(http.MethodGet)
	router.HandleFunc("/rows-feed", s.serveFeed).Methods(http.MethodGet)
	router.HandleFunc("/rows-parts", s.serveParts).Methods(http.MethodGet)
	router.HandleFunc("/blob-put/{id:.+}", s.servePutObject).Methods(http.MethodPut)
	router.HandleFunc("/blob-get/{id:.+}", s.serveGetObject).Methods(http.MethodGet)
	router.HandleFunc("/blob-drop/{id:.+}", s.serveDeleteObject).Methods(http.MethodDelete)
	router.HandleFunc("/standin/rows/{table}/{key:.+}", s.serveEditRow).Methods(http.MethodPut, http.MethodDelete)
	router.HandleFunc("/standin/copy", func(http.ResponseWriter, *http.Request) { s.Copy() }).Methods(http.MethodPost)
	router.HandleFunc("/standin/restore", func(http.ResponseWriter, *http.Request) { s.Restore() }).Methods(http.MethodPost)
	router.HandleFunc("/standin/forget", func(http.ResponseWriter, *http.Request) { s.DropHistory() }).Methods(http.MethodPost)
}

// nameEra adds the era to all replies.
func (s *Registrar) nameEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// eraWriter adds the era as of the moment of a reply.
type eraWriter struct {
	http.ResponseWriter

	store *Registrar
	named bool
}

// WriteHeader implements http.ResponseWriter. Handlers that hold the store's lock call it, so
// that it must not take the lock.
func (w *eraWriter) WriteHeader(status int) {
	w.named = true
	w.Header().Set("Store-Era", strconv.FormatInt(firstEra+w.store.restores.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(piece []byte) (n int, err error) {
	if !w.named {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(piece)
}

// Put writes a row of any table.
func (s *Registrar) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(Row{Table: table, Key: key, Value: value, Version: s.version})
	s.notifyFeeds()
}

// Remove removes a row of any table.
func (s *Registrar) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[rowID{table, "", key}]; !found {
		return
	}
	s.version++
	s.apply(Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notifyFeeds()
}

// DropHistory drops the history, so that a client that follows from an earlier
// version has to list all rows again.
func (s *Registrar) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedUpTo = nil, s.version
	s.notifyFeeds()
}

// apply applies a change. It is called with s.mu held.
func (s *Registrar) apply(r Row) {
	if s.rows == nil {
		s.rows = map[rowID]Row{}
	}
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

// notifyFeeds wakes the waiting feeds. It is called with s.mu held.
func (s *Registrar) notifyFeeds() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

type reply struct {
	Rows    []Row `json:"rows,omitempty"`
	HasMore bool  `json:"has-more"`
	Version int64 `json:"ver"`
	NowMS   int64 `json:"now-ms"`
}

// writeReply writes r with the store's version and clock. It is called with s.mu held.
func (s *Registrar) writeReply(w http.ResponseWriter, status int, r reply) {
	if s.started.IsZero() {
		s.started = time.Now()
	}
	r.Version, r.NowMS = s.version, time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(r)
}

func (s *Registrar) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectedRev []Row `json:"expected-rev"`
		Put         []Row `json:"put"`
		Remove      []Row `json:"remove"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&txn); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range slices.Concat(txn.Put, txn.Remove) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "the table is not yours", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var currentRows []Row
	conditionsHold := true
	for _, row := range txn.ExpectedRev {
		current, found := s.rows[row.id()]
		if found {
			currentRows = append(currentRows, current)
		}
		conditionsHold = conditionsHold && current.Version == row.Version
	}
	if !conditionsHold {
		s.writeReply(w, http.StatusPreconditionFailed, reply{Rows: currentRows})
		return
	}
	s.version++
	for _, row := range txn.Put {
		row.Version = s.version
		s.apply(row)
	}
	for _, row := range txn.Remove {
		if _, found := s.rows[row.id()]; found {
			s.apply(Row{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
		}
	}
	s.notifyFeeds()
	s.writeReply(w, http.StatusOK, reply{})
}

func (s *Registrar) serveGetRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var result reply
	for id, row := range s.rows {
		inRange := id.key >= query.Get("from") && (query.Get("to") == "" || id.key < query.Get("to"))
		if id.table == query.Get("table") && id.part == query.Get("part") && inRange {
			result.Rows = append(result.Rows, row)
		}
	}
	slices.SortFunc(result.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(result.Rows) > limit {
		result.Rows, result.HasMore = result.Rows[:limit], true
	}
	s.writeReply(w, http.StatusOK, result)
}

func (s *Registrar) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	if err != nil {
		waitMS = 0
	}
	timeout := time.After(min(time.Duration(waitMS)*time.Millisecond, maxFeedWait))
	for {
		rows, expired, changed := s.changesAfter(query.Get("table"), after)
		switch {
		case expired:
			http.Error(w, "history", http.StatusGone)
			return
		case len(rows) > 0:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeReply(w, http.StatusOK, reply{Rows: rows})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeReply(w, http.StatusOK, reply{})
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, reports whether they
// have expired, and returns a channel that is closed at the next change.
func (s *Registrar) changesAfter(table string, version int64) (rows []Row, expired bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.droppedUpTo || version > s.version {
		return nil, true, nil
	}
	for _, row := range s.history {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return rows, false, s.changed
}

func (s *Registrar) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var result struct {
		Parts []string `json:"parts"`
	}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(result.Parts, id.part) {
			result.Parts = append(result.Parts, id.part)
		}
	}
	slices.Sort(result.Parts)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

func (s *Registrar) servePutObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = map[string][]byte{}
	}
	id := mux.Vars(r)["id"]
	if _, found := s.objects[id]; found && r.Header.Get("If-None-Match") == "*" {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.objects[id] = value
}

func (s *Registrar) serveGetObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	value, found := s.objects[mux.Vars(r)["id"]]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func (s *Registrar) serveDeleteObject(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, mux.Vars(r)["id"])
}

func (s *Registrar) serveEditRow(w http.ResponseWriter, r *http.Request) {
	table, key := mux.Vars(r)["table"], mux.Vars(r)["key"]
	if r.Method == http.MethodDelete {
		s.Remove(table, key)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Put(table, key, value)
}
