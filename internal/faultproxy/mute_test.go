package faultproxy_test

import (
	"net"
	"sync"
	"testing"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestMuteWhileAccepting mutes many proxies at the moment at which each accepts a connection.
//
// A connect to a muted proxy was answered, in 3 of 150 runs beside other load. An accept that was under way when Mute set the
// listener's deadline took one connection more, and by then Mute had found the queue before it full: of 2,400 proxies that were muted right
// after a connect 38 answered another one, with an empty queue, and had accepted one or two connections.
func TestMuteWhileAccepting(t *testing.T) {
	const proxies, rounds = 24, 12
	var all sync.WaitGroup
	for range proxies {
		all.Go(func() {
			for range rounds {
				muteWhileAccepting(t)
			}
		})
	}
	all.Wait()
}

// muteWhileAccepting mutes a proxy right after a connect; the next one must go unanswered.
func muteWhileAccepting(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = target.Close() }()
	p, err := faultproxy.New(target.Addr().String())
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = p.Close() }()
	first, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Error(err)
		return
	}
	defer func() { _ = first.Close() }()
	if err := p.Mute(); err != nil {
		t.Error(err)
		return
	}
	c, err := net.DialTimeout("tcp", p.Addr(), quiet)
	if err == nil {
		_ = c.Close()
		t.Error("a muted proxy answered a connect")
	}
}
