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

// recordSize is the size of each record of a sharedStore, pageSize that of its largest answer, a tenth of the platform's.
const (
	recordSize = 1000
	pageSize   = 100 * recordSize
)

// sharedStore has one log. All answers share what it gives in a second, one after the other; what is given to a reader that has left is spent, too.
type sharedStore struct {
	// gives is in bytes a second.
	gives float64
	// keeps is how many bytes the newest records of all keys take.
	keeps int

	mu sync.Mutex
	// free is when the store is done with the answers that it was asked for.
	free time.Time
	// first and end are the offsets of what it keeps.
	first, end int
	// grown is closed when the log grows, and made anew.
	grown chan struct{}
}

// write adds records for a time, so many bytes a second.
func (s *sharedStore) write(lasts time.Duration, rate float64) {
	const every = 10 * time.Millisecond
	owed := 0.0
	for range int(lasts / every) {
		time.Sleep(every)
		owed += rate * every.Seconds() / recordSize
		s.mu.Lock()
		if owed >= 1 {
			s.end += int(owed)
			owed -= float64(int(owed))
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

// ends returns where the log ends.
func (s *sharedStore) ends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end
}

// RoundTrip implements http.RoundTripper.
func (s *sharedStore) RoundTrip(req *http.Request) (*http.Response, error) {
	q := req.URL.Query()
	if req.URL.Path == "/log-newest" {
		s.mu.Lock()
		value := strings.Repeat("A", s.keeps/4*4) // base64
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

// page returns an answer with so many records.
func page(end, first, records int) string {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(first))
	record := append([]byte{0, 0, 0, 0, 1, 'k'}, make([]byte, recordSize-6)...)
	binary.BigEndian.PutUint32(record, recordSize-4)
	return string(b) + strings.Repeat(string(record), records)
}

// answer gives an answer in its turn.
func (s *sharedStore) answer(req *http.Request, status int, body string) (*http.Response, error) {
	s.mu.Lock()
	start := time.Now()
	if s.free.After(start) {
		start = s.free
	}
	takes := time.Duration(float64(len(body)) / s.gives * float64(time.Second))
	s.free = start.Add(takes)
	s.mu.Unlock()
	if !pause(req.Context(), time.Until(start)+takes) {
		return nil, req.Context().Err()
	}
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// follower is a host that follows the log.
type follower struct {
	mu   sync.Mutex
	next int
}

// at returns how far it is.
func (f *follower) at() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// reach notes how far it is.
func (f *follower) reach(next id.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = int(next)
}

// follow follows the log until ctx is done. Short calls of the host are answered all the time.
func (f *follower) follow(ctx context.Context, path *relay.Path) {
	h := &Host{
		log: zap.NewNop(), health: newStoreHealth(zap.NewNop()), clock: newTestClock(),
		store: platform.NewStore("store", &http.Client{Transport: path}),
	}
	go func() {
		for pause(ctx, joinEvery) {
			h.health.begin()(nil)
		}
	}()
	t := &tail{host: h, topic: platform.TopicJobs, wait: func() time.Duration { return jobsWait }, pause: func() time.Duration { return jobsPause }}
	t.whole = func(_ []jobtable.Record, end id.Offset) { f.reach(end) }
	t.more = func(recs []jobtable.Record, from id.Offset) { f.reach(from + id.Offset(len(recs))) }
	t.run(ctx)
}

// TestOverload plays the scripts of testdata/overload: hosts follow a log of a store that gives less than all of them ask for.
//
//	hosts N             so many hosts follow the log
//	gives BYTES         what the store gives in a second, to all together
//	keeps BYTES         what the newest records of all keys take
//	write D BYTES       so many bytes a second are written for a time
//	compact             the store drops its history
//	current D           each host has all that the log had that long ago
//
// On a site of 147 hosts reads came up to 1.8 s late as work began. Each was given up after a second beyond its wait, "context deadline exceeded", and
// made anew, with a second copy through a peer; the store went on to give what nobody took. What was written fell to a tenth within five seconds,
// and at the end of the day no host had caught up.
func TestOverload(t *testing.T) {
	scripttest.EachIn(t, "overload", func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) { playOverload(t, text) })
	})
}

// playOverload plays one script.
func playOverload(t *testing.T, text string) {
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
			hosts = make([]*follower, int(amount(t, f[1])))
		case "gives":
			store.gives = amount(t, f[1])
			for i := range hosts {
				hosts[i] = &follower{}
				path := relay.New("http://store", relay.RouteStore, &http.Client{Transport: store}, links, zap.NewNop())
				go hosts[i].follow(ctx, path)
			}
		case "keeps":
			store.keeps = int(amount(t, f[1]))
		case "write":
			store.write(period(t, f[1]), amount(t, f[2]))
		case "compact":
			store.compact()
		case "current":
			end := store.ends()
			time.Sleep(period(t, f[1]))
			behind := 0
			for _, h := range hosts {
				if h.at() < end {
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

func amount(t *testing.T, s string) float64 {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

func period(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}
