//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as the settings of a small deployment name them.
const (
	recordBytes   = 262144
	callBytes     = 2097152
	partBytes     = 200 << 20
	appendTime    = 2 * time.Millisecond
	bytesPerSec   = 20 << 20
	partitions    = 12
	maxNewest     = 500
	maxNewestSize = 1 << 20
)

// logRecord is one record of a topic. Keyed records are split into key and value.
type logRecord struct {
	key   string
	value []byte
}

// size is the size of the record on the wire, without its length.
func (r logRecord) size() int { return 1 + len(r.key) + len(r.value) }

// writerState is what a topic knows of one producer.
type writerState struct {
	epoch, seq uint64
	answers    map[uint64][2]int // of the last five appends, by sequence number: offset and end
}

// topicLog is the only partition of one topic that the system uses.
type topicLog struct {
	appendMu sync.Mutex // appends are carried out one after the other
	records  []logRecord
	first    int // offset of records[0]
	bytes    int
	newest   map[string]int // by key: the offset of its newest record
	values   map[string][]byte
	writers  map[string]*writerState
	changed  chan struct{}
}

func (t *topicLog) end() int { return t.first + len(t.records) }

// member is one member of a group.
type member struct {
	expires time.Time
	topics  []string
}

// store is a stand-in of the platform's store in its log form.
type store struct {
	mu         sync.Mutex
	topics     map[string]*topicLog
	members    map[string]map[string]*member
	generation int
	rejected   func(topic string, size int)
}

func newStore(rejected func(string, int)) *store {
	return &store{topics: map[string]*topicLog{}, members: map[string]map[string]*member{}, rejected: rejected}
}

// topic returns a topic. The caller holds mu.
func (s *store) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{newest: map[string]int{}, values: map[string][]byte{}, writers: map[string]*writerState{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records and drops the oldest ones beyond the size of a partition.
// The caller holds mu.
func (t *topicLog) add(recs []logRecord) {
	for _, r := range recs {
		if len(r.value) == 0 {
			delete(t.newest, r.key)
			delete(t.values, r.key)
		} else {
			t.newest[r.key], t.values[r.key] = t.end(), r.value
		}
		t.records = append(t.records, r)
		t.bytes += r.size()
	}
	for t.bytes > partBytes {
		t.bytes -= t.records[0].size()
		t.records = t.records[1:]
		t.first++
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a record as the operator or an executor does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add([]logRecord{{key, value}})
}

func respond(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.listNewest(w, r)
	case "/log-join", "/log-leave":
		s.join(w, r)
	case "/log-owners":
		s.owners(w, r)
	case "/log-commit":
		respond(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// parseRecords splits the body of an append. It reports false for a body that
// is malformed or exceeds the limits.
func parseRecords(b []byte) ([]logRecord, bool) {
	if len(b) > callBytes {
		return nil, false
	}
	var out []logRecord
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		b = b[4:]
		if n < 1 || n > len(b) || n > recordBytes || 1+int(b[0]) > n {
			return nil, false
		}
		k := 1 + int(b[0])
		out = append(out, logRecord{string(b[1:k]), append([]byte(nil), b[k:n]...)})
		b = b[n:]
	}
	return out, true
}

// append handles POST /log-append.
func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	recs, ok := parseRecords(body)
	if !ok {
		s.rejected(q.Get("topic"), len(body))
		respond(w, http.StatusBadRequest, map[string]string{"Error": "a record or the call is too large"})
		return
	}
	t.appendMu.Lock()
	defer t.appendMu.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/bytesPerSec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(t.end()) {
		respond(w, http.StatusPreconditionFailed, map[string]int{"end": t.end()})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseUint(q.Get("Seq"), 10, 64)
		p := t.writers[name]
		if p == nil {
			p = &writerState{answers: map[uint64][2]int{}}
			t.writers[name] = p
			p.epoch, p.seq = epoch, seq-1
		}
		switch answer, known := p.answers[seq]; {
		case epoch < p.epoch:
			respond(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		case epoch == p.epoch && known:
			respond(w, http.StatusOK, map[string]int{"offset": answer[0], "end": answer[1]})
			return
		case epoch == p.epoch && seq != p.seq+1:
			respond(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.seq + 1})
			return
		}
		if epoch > p.epoch {
			p.answers = map[uint64][2]int{}
		}
		p.epoch, p.seq = epoch, seq
		p.answers[seq] = [2]int{t.end(), t.end() + len(recs)}
		delete(p.answers, seq-5)
	}
	offset := t.end()
	if len(recs) > 0 {
		t.add(recs)
	}
	respond(w, http.StatusOK, map[string]int{"offset": offset, "end": t.end()})
}

// read handles GET /log-read.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	limit, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		limit = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := wait == 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			respond(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if from < t.end() || last {
			page := t.page(from, limit<<10)
			s.mu.Unlock()
			_, _ = w.Write(page)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// page encodes the records from an offset on, up to a size, but at least one.
func (t *topicLog) page(from, limit int) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for i := from; i < t.end(); i++ {
		rec := t.records[i-t.first]
		if i > from && len(b)+rec.size()+4 > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(rec.size()))
		b = append(b, byte(len(rec.key)))
		b = append(append(b, rec.key...), rec.value...)
	}
	return b
}

// listNewest handles GET /log-newest.
func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("DependsOn") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := t.values[k]
		if len(items) >= maxNewest || len(items) > 0 && size+len(v) > maxNewestSize {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"PrivateKey": k, "Value": base64.StdEncoding.EncodeToString(v), "offset": t.newest[k]})
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": t.end()})
}

// expire removes the members that have been silent for too long. The caller
// holds mu.
func (s *store) expire(group string) map[string]*member {
	g := s.members[group]
	if g == nil {
		g = map[string]*member{}
		s.members[group] = g
	}
	for name, m := range g {
		if time.Now().After(m.expires) {
			delete(g, name)
			s.generation++
		}
	}
	return g
}

// join handles POST /log-join and POST /log-leave.
func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.expire(in.Group)
	if r.URL.Path == "/log-leave" {
		delete(g, in.Member)
		s.generation++
		respond(w, http.StatusOK, struct{}{})
		return
	}
	if g[in.Member] == nil {
		s.generation++
	}
	g[in.Member] = &member{time.Now().Add(time.Duration(in.TTL) * time.Millisecond), in.Topics}
	var own [][]any
	for _, row := range s.deal(in.Group) {
		if row[2] == in.Member {
			own = append(own, []any{row[0], row[1], row[3]})
		}
	}
	respond(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": in.TTL, "parts": own})
}

// deal returns the partitions of a group with their members, dealt evenly.
func (s *store) deal(group string) [][]any {
	g := s.members[group]
	topics := map[string]bool{}
	var names []string
	for name, m := range g {
		names = append(names, name)
		for _, t := range m.topics {
			topics[t] = true
		}
	}
	sort.Strings(names)
	var sorted []string
	for t := range topics {
		sorted = append(sorted, t)
	}
	sort.Strings(sorted)
	rows := [][]any{}
	for i, t := range sorted {
		for p := range partitions {
			if len(names) > 0 {
				rows = append(rows, []any{t, p, names[(i*partitions+p)%len(names)], 0})
			}
		}
	}
	return rows
}

// owners handles GET /log-owners.
func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	group := r.URL.Query().Get("group")
	s.expire(group)
	respond(w, http.StatusOK, map[string]any{"parts": s.deal(group)})
}
