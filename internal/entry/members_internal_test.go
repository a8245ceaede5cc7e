package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/candidacy"
	"curlewsill.org/curlewsill/core/election"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/internal/relay"
	"curlewsill.org/curlewsill/internal/ring"
	"curlewsill.org/curlewsill/internal/settings"
	"curlewsill.org/curlewsill/platform"
)

// TestRoomForMembers checks that the group's room, the number of hosts for
// which it has partitions, grows before it is full. It also checks that a small
// site has no more partitions than needed.
func TestRoomForMembers(t *testing.T) {
	for _, c := range []struct{ listed, room, want int }{
		{0, 64, 64}, {8, 64, 64}, {41, 64, 64}, {47, 64, 64}, {48, 64, 128}, {72, 64, 128}, {100, 128, 256}, {301, 256, 512},
		{519, 64, 1000}, {1000, 1000, 1000},
	} {
		if got := roomForMembers(c.listed, c.room, 1000); got != c.want {
			t.Errorf("%d hosts listed with room for %d: new room %d, want %d", c.listed, c.room, got, c.want)
		}
		if got := len(memberTopics("hosts", 12, c.want)) * 12; got < c.want {
			t.Errorf("topics have %d partitions for %d hosts", got, c.want)
		}
	}
}

// partitionsPerTopic is how many partitions each topic of a groupStore has.
const partitionsPerTopic = 24

// groupStore is a store without a network that has the groups of candidates and
// of reserves. It counts the calls and the bytes of its answers.
type groupStore struct {
	mu      sync.Mutex
	members map[string][]string
	// partitions is the number of partitions of each group.
	partitions   map[string]int
	joins, polls int
	bytes        int
	left         []string
}

// RoundTrip implements http.RoundTripper.
func (s *groupStore) RoundTrip(req *http.Request) (*http.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := `{"generation":1}`
	switch req.URL.Path {
	case "/log-join", "/log-leave":
		if err := s.change(req); err != nil {
			return nil, err
		}
	case "/log-owners":
		s.polls++
		var rows []string
		group := req.URL.Query().Get("group")
		members := s.members[group]
		for i := range max(s.partitions[group], len(members)) {
			if len(members) > 0 {
				rows = append(rows, fmt.Sprintf(`["hosts.%d",%d,%q,0]`, i/partitionsPerTopic, i%partitionsPerTopic, members[i%len(members)]))
			}
		}
		body = `{"parts":[` + strings.Join(rows, ",") + `]}`
	}
	s.bytes += len(body)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Header: http.Header{}, Request: req}, nil
}

// change handles a call to join or leave a group.
func (s *groupStore) change(req *http.Request) error {
	var in struct {
		Group, Member string
		Topics        []string
	}
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		return err
	}
	rest := slices.DeleteFunc(s.members[in.Group], func(m string) bool { return m == in.Member })
	if req.URL.Path == "/log-join" {
		s.joins++
		s.partitions[in.Group] = max(s.partitions[in.Group], partitionsPerTopic*len(in.Topics))
		rest = append(rest, in.Member)
	} else {
		s.left = append(s.left, in.Group+" "+in.Member)
	}
	s.members[in.Group] = rest
	return nil
}

// newMember returns a host of low ability whose store is s.
func newMember(s *groupStore) *Host {
	links := relay.NewLinks((&net.Dialer{}).DialContext, zap.NewNop())
	path := func() *relay.Transport {
		return relay.New("http://store", relay.RouteStore, &http.Client{Transport: s}, links, zap.NewNop())
	}
	self := election.Member{Host: "a#2", Ability: 100}
	h := &Host{
		log: zap.NewNop(), metrics: newMetrics(), health: newStoreHealth(zap.NewNop()), self: "a#2", clock: newTestClock(),
		table: jobtable.New(), loaded: true, events: ring.New[event](eventCapacity), watchers: watchers{}, others: map[id.Host]otherHost{},
		store: platform.NewStore("store", &http.Client{Transport: s}), settings: settings.Site{Host: "a", Partitions: 24},
		storePath: path(), advicePath: path(), recordsPath: path(), watchPath: path(), jobsPath: path(),
		election: election.New(self), candidacy: *candidacy.New(election.Member{Host: "a", Ability: 100}), roleChanged: make(chan struct{}, 1), wake: make(chan struct{}, 1),
	}
	h.candidates, h.reserves = newMemberships(24, 0)
	return h
}

// names returns the names of n members of an ability.
func names(n, ability int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("edge-kafrsheikh-hall-%d#01234567@10.20.30.40:7000@%d", i, ability))
	}
	return out
}

// TestGroupLoad checks that the calls and bytes for the groups, for each host,
// don't grow with the number of hosts.
//
// Each host polled the group of all hosts every 1.2 s and renewed its membership
// every 0.33 s, so that the hosts together read bytes that grew with the square
// of their number.
func TestGroupLoad(t *testing.T) {
	const (
		duration       = 60 * time.Second
		maxBytesPerSec = 16 << 10
		maxCallsPerSec = 1.25
	)
	for _, hosts := range []int{150, 600, 1200} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &groupStore{
					members: map[string][]string{
						candidateGroup: names(100, 500), reserveGroup: append(names(hosts-101, 100), "a@a:1@100"),
					},
					partitions: map[string]int{candidateGroup: maxCandidateRoom, reserveGroup: 2 * hosts},
				}
				h := newMember(s)
				h.loaded = false
				go h.decide(ctx)
				go h.keepMembership(ctx)
				time.Sleep(duration)
				synctest.Wait()
				bytes, calls := float64(s.bytes)/duration.Seconds(), float64(s.joins+s.polls)/duration.Seconds()
				t.Logf("%d hosts: %.0f B/s, %.2f calls/s, %d joins, %d polls", hosts, bytes, calls, s.joins, s.polls)
				if bytes > maxBytesPerSec || calls > maxCallsPerSec {
					t.Errorf("%d hosts: %.0f B/s and %.2f calls/s, want at most %d and %.2f", hosts, bytes, calls, maxBytesPerSec, maxCallsPerSec)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRestartedReserve checks that a reserve that starts again remains a reserve,
// under the same name.
//
// If the name were new, the store would deal the partitions of the group anew
// twice for each host when all hosts of a fleet return.
func TestRestartedReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		listed := []string{"a@a:1@0", "b@b:1@100"}
		s := &groupStore{members: map[string][]string{candidateGroup: names(100, 500), reserveGroup: slices.Clone(listed)}, partitions: map[string]int{}}
		h := newMember(s)
		h.peers = "a:1"
		go h.decide(ctx)
		go h.keepMembership(ctx)
		time.Sleep(time.Minute)
		synctest.Wait()
		if m := h.currentMembership(); m != h.reserves {
			t.Error("the host isn't a reserve")
		}
		slices.Sort(s.members[reserveGroup])
		if got := s.members[reserveGroup]; !slices.Equal(got, listed) || len(s.left) > 0 {
			t.Errorf("the reserves are %v, and %v have left", got, s.left)
		}
		cancel()
		synctest.Wait()
	})
}
