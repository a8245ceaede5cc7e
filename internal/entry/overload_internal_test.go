package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/platform"
)

// recordSize is the size in bytes of each record of a sharedStore. pageSize is
// the size of its largest page, a tenth of the largest page of the platform's
// store.
const (
	recordSize = 1000
	pageSize   = 100 * recordSize
)

// sharedStore is a store with one log. Its answers are sent one after the other
// and share its bandwidth; an answer to a reader that has given up uses
// bandwidth too.
type sharedStore struct {
	// bandwidth is in bytes a second.
	bandwidth float64
	// snapshotBytes is the size of the newest records of all keys.
	snapshotBytes int

	mu sync.Mutex
	// busyUntil is when the store will have sent all answers requested so far.
	busyUntil time.Time
	// first and end are the offsets between which the store keeps records.
	first, end int
	// grown is closed when the log grows, and then replaced.
	grown chan struct{}
}

// write appends records for the given time, at a rate in bytes a second.
func (s *sharedStore) write(duration time.Duration, rate float64) {
	const every = 10 * time.Millisecond
	pendingRecords := 0.0
	for range int(duration / every) {
		time.Sleep(every)
		pendingRecords += rate * every.Seconds() / recordSize
		s.mu.Lock()
		if pendingRecords >= 1 {
			s.end += int(pendingRecords)
			pendingRecords -= float64(int(pendingRecords))
			close(s.grown)
			s.grown = make(chan struct{})
		}
		s.mu.Unlock()
	}
}

// compact drops the history.
func (s *sharedStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = s.end
}

// endOffset returns the end of the log.
func (s *sharedStore) endOffset() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// RoundTrip implements http.RoundTripper.
func (s *sharedStore) RoundTrip(req *http.Request) (*http.Response, error) {
	q := req.URL.Query()
	if req.URL.Path == "/log-newest" {
		s.mu.Lock()
		value := strings.Repeat("A", s.snapshotBytes/4*4) // base64
		body := fmt.Sprintf(`{"items":[{"PrivateKey":"k","Value":%q,"offset":0}],"end":%d}`, value, s.end)
		s.mu.Unlock()
		return s.answer(req, http.StatusOK, body)
	}
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil {
		return nil, err
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		first, end, grown := s.first, s.end, s.grown
		s.mu.Unlock()
		if from < first {
			return s.answer(req, http.StatusGone, "")
		}
		if from < end || !time.Now().Before(until) {
			return s.answer(req, http.StatusOK, page(end, first, min(end-from, pageSize/recordSize)))
		}
		select {
		case <-grown:
		case <-time.After(time.Until(until)):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	}
}

// page returns an answer with the given number of records.
func page(end, first, records int) string {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	record := append([]byte{0, 0, 0, 0, 1, 'k'}, make([]byte, recordSize-6)...)
	binary.BigEndian.PutUint32(record, recordSize-4)
	return string(b) + strings.Repeat(string(record), records)
}

// answer sends an answer at the store's bandwidth, after all earlier answers
// have been sent.
func (s *sharedStore) answer(req *http.Request, status int, body string) (*http.Response, error) {
	s.mu.Lock()
	start := time.Now()
	if s.busyUntil.After(start) {
		start = s.busyUntil
	}
	transferTime := time.Duration(float64(len(body)) / s.bandwidth * float64(time.Second))
	s.busyUntil = start.Add(transferTime)
	s.mu.Unlock()
	if !pause(req.Context(), time.Until(start)+transferTime) {
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// follower is a host that follows the log.
type follower struct {
	mu   sync.Mutex
	next int
}

// position returns the offset up to which the follower has read.
func (f *follower) position() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// advance sets the offset up to which the follower has read.
func (f *follower) advance(next id.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = int(next)
}

// follow follows the log until ctx is done, while the host's short calls are
// always answered.
func (f *follower) follow(ctx context.Context, path *relay.Transport) {
	h := &Host{
		log: zap.NewNop(), health: newStoreHealth(zap.NewNop()), clock: newTestClock(),
		store: platform.NewStore("store", &http.Client{Transport: path}),
	}
	go func() {
		for pause(ctx, heartbeatInterval) {
			h.health.begin()(nil)
		}
	}()
	t := &tail{host: h, topic: platform.TopicJobs, wait: func() time.Duration { return jobsWait }, pause: func() time.Duration { return jobsPause }}
	t.onLoad = func(_ []jobtable.Record, end id.Offset) { f.advance(end) }
	t.onAppend = func(recs []jobtable.Record, from id.Offset) { f.advance(from + id.Offset(len(recs))) }
	t.run(ctx)
}

// TestOverload runs the scripts of testdata/overload: hosts follow the log of a
// store that has less bandwidth than all of them need.
//
//	hosts N             number of hosts that follow the log
//	gives BYTES         bandwidth of the store in bytes a second, shared by all hosts
//	keeps BYTES         size of the newest records of all keys
//	write D BYTES       append the given number of bytes a second for the duration D
//	compact             the store drops its history
//	current D           wait for D, then check that each host has read all that the
//	                    log held before
//
// With 147 hosts, reads took up to 1.8 s longer than usual when work began.
// Each reader timed out 1 s after the end of the read's wait and repeated the
// read, with a second copy through a peer, while the store still sent the
// answers that nobody awaited any more. Although the rate of writes fell to a
// tenth within five seconds, no host caught up.
func TestOverload(t *testing.T) {
	scripttest.EachIn(t, "overload", func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) { runOverloadScript(t, text) })
	})
}

// runOverloadScript runs one script.
func runOverloadScript(t *testing.T, text string) {
	ctx, cancel := context.WithCancel(t.Context())
	store := &sharedStore{grown: make(chan struct{})}
	links := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	var hosts []*follower
	for line := range strings.Lines(text) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		switch f[0] {
		case "hosts":
			hosts = make([]*follower, int(parseFloat(t, f[1])))
		case "gives":
			store.bandwidth = parseFloat(t, f[1])
			for i := range hosts {
				hosts[i] = &follower{}
				path := relay.New("http://store", relay.RouteStore, &http.Client{Transport: store}, links, zap.NewNop())
				go hosts[i].follow(ctx, path)
			}
		case "keeps":
			store.snapshotBytes = int(parseFloat(t, f[1]))
		case "write":
			store.write(parseDuration(t, f[1]), parseFloat(t, f[2]))
		case "compact":
			store.compact()
		case "current":
			end := store.endOffset()
			time.Sleep(parseDuration(t, f[1]))
			behind := 0
			for _, h := range hosts {
				if h.position() < end {
					behind++
				}
			}
			if behind > 0 {
				t.Errorf("%d of %d hosts are behind", behind, len(hosts))
			}
		default:
			t.Fatalf("unknown command %q", f[0])
		}
	}
	cancel()
	links.Close()
	synctest.Wait()
}

func parseFloat(t *testing.T, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func parseDuration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
