package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/node"
	"curlewsill.org/curlewsill/core/peer"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/route"
	"curlewsill.org/curlewsill/core/unit"
)

const begin = unit.Instant(time.Hour)

// single is one node with a simulated log: write appends a record and delivers it
// to the node.
type single struct {
	*node.Node
	now    unit.Instant
	offset id.Offset
	seq    id.Seq
}

func newSingle(b testing.TB) *single {
	rng := rand.New(rand.NewPCG(1, 1))
	s := &single{Node: node.New("h0", 1, begin, place.Packing(), rng), now: begin}
	s.write(b, record.Entry{Configure: &record.Configure{Changes: []config.Change{
		{SetCustomer: &config.Customer{ID: "c", Weight: 1}},
		{SetService: &config.Service{ID: "s", Slots: 8, Connections: 60, Timeout: 10 * time.Second}},
	}}})
	s.Step(s.now, node.Tick{})
	return s
}

// write appends a record with the entries, written by another host, and delivers it.
func (s *single) write(b testing.TB, entries ...record.Entry) {
	s.seq++
	raw, err := record.Encode(record.Batch{
		Version: record.Version, Host: "other", Incarnation: 1, Seq: s.seq, BasisOffset: s.offset, Entries: entries,
	})
	if err != nil {
		b.Fatal(err)
	}
	s.offset++
	s.Step(s.now, node.Records{First: s.offset, Raw: [][]byte{raw}, Head: s.offset})
}

func (s *single) hosts(n, backends int) {
	ev := node.HostList{Backends: map[id.Service]map[id.Backend]bool{"s": {}}}
	for i := range n {
		ev.EntryHosts = append(ev.EntryHosts, id.Host(fmt.Sprintf("h%d", i)))
	}
	for i := range backends {
		ev.Backends["s"][id.Backend(fmt.Sprintf("10.0.0.%d:80", i))] = true
	}
	s.Step(s.now, ev)
}

// BenchmarkRequest measures the handling of a request from arrival to answer.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("backends=%d", backends), func(b *testing.B) {
			s := newSingle(b)
			s.hosts(3, backends)
			b.ReportAllocs()
			n := id.Request(0)
			for b.Loop() {
				n++
				a := s.Step(s.now, node.RequestArrived{Request: route.Request{ID: n, Service: "s", Customer: "c"}})
				if len(a.Sends) != 1 {
					b.Fatalf("not sent: %+v", a)
				}
				s.Step(s.now, node.AttemptEnded{Result: route.Result{Attempt: a.Sends[0], Outcome: route.Complete, Load: 1, Took: time.Millisecond}})
			}
		})
	}
}

// BenchmarkSecond measures one second of an idle host in a group of hosts: its
// ticks, the frames it sends and those it receives. It reports the bytes of the
// frames sent.
func BenchmarkSecond(b *testing.B) {
	frames := codec.New[peer.Frame]()
	for _, hosts := range []int{3, 9, 30, 100} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := newSingle(b)
			s.hosts(hosts, 50)
			b.ReportAllocs()
			sent, seconds := 0, 0
			for b.Loop() {
				seconds++
				for range 20 {
					s.now = s.now.Add(50 * time.Millisecond)
					for _, f := range s.Step(s.now, node.Tick{}).Frames {
						raw, err := frames.Encode(f.Frame)
						if err != nil {
							b.Fatal(err)
						}
						sent += len(raw)
					}
					s.Step(s.now, node.Records{First: s.offset + 1, Head: s.offset})
				}
				for i := range min(peer.MaxNeighbors, hosts-1) {
					for range 2 {
						s.Step(s.now, node.FrameReceived{Frame: peer.Frame{From: id.Host(fmt.Sprintf("h%d", i+1)), Applied: s.offset}})
					}
				}
			}
			b.ReportMetric(float64(sent)/float64(seconds), "frame-B/s")
		})
	}
}

// BenchmarkConfigure measures a configuration change with the given number of racks
// and four guaranteed blocks for each.
func BenchmarkConfigure(b *testing.B) {
	for _, racks := range []int{7, 42, 124} {
		b.Run(fmt.Sprintf("racks=%d", racks), func(b *testing.B) {
			s := newSingle(b)
			var changes []config.Change
			for i := range racks {
				r := &config.Rack{ID: id.Rack(fmt.Sprintf("r%03d", i)), Domain: "d"}
				for k := range 8 {
					r.Workers = append(r.Workers, config.Worker{
						ID: id.Worker(fmt.Sprintf("%s-w%d", r.ID, k)), Accelerators: 8, Cores: 60, Memory: 250 * unit.GiB,
					})
				}
				changes = append(changes, config.Change{SetRack: r})
			}
			changes = append(changes, config.Change{SetGuarantee: &config.Guarantee{
				ID: "g", Customer: "c", Size: 8, Count: racks * 4,
			}})
			s.write(b, record.Entry{Configure: &record.Configure{Basis: s.ConfigAt(), Changes: changes}})
			at := s.ConfigAt()
			b.ReportAllocs()
			weight := 1
			for b.Loop() {
				weight = weight%9 + 1
				s.write(b, record.Entry{Configure: &record.Configure{Basis: s.ConfigAt(), Changes: []config.Change{
					{SetCustomer: &config.Customer{ID: "c", Weight: weight}},
				}}})
			}
			if s.ConfigAt() == at {
				b.Fatal("no change was accepted")
			}
		})
	}
}

// BenchmarkSnapshot measures encoding a snapshot of a state with the given number of
// jobs, and reports its size per job.
func BenchmarkSnapshot(b *testing.B) {
	for _, jobs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("jobs=%d", jobs), func(b *testing.B) {
			s := newSingle(b)
			var entries []record.Entry
			for i := range jobs {
				entries = append(entries, record.Entry{Submit: &record.Submit{Job: record.Job{
					ID: id.Job(fmt.Sprintf("reconstruction-%06d", i)), Customer: "c", Accelerators: 8,
					Declared: time.Hour, Submitted: s.now, Command: "reconstruct --container MSKU1234567",
				}}})
				if len(entries) == 200 || i == jobs-1 {
					s.write(b, entries...)
					entries = entries[:0]
				}
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := s.ReplayedState().Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(jobs), "B/job")
		})
	}
}
