package faultproxy_test

import (
	"net"
	"sync"
	"testing"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestMuteWhileAccepting mutes many proxies, by IgnoreConnects, at the moment
// when each accepts a connection. It guards against a muted proxy that answers
// a connect: IgnoreConnects had filled the accept queue while an accept was
// still in flight, which then took a connection from the queue and so made room
// for another one. This happened in 3 of 150 runs under load. Of 2,400 proxies
// that were muted right after a connect, 38 answered another one: their queues
// were empty, and they had accepted one or two connections.
func TestMuteWhileAccepting(t *testing.T) {
	const proxies, rounds = 24, 12
	var group sync.WaitGroup
	for range proxies {
		group.Go(func() {
			for range rounds {
				muteWhileAccepting(t)
			}
		})
	}
	group.Wait()
}

// muteWhileAccepting mutes a proxy right after a connect and requires that the
// next connect goes unanswered.
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
	if err := p.IgnoreConnects(); err != nil {
		t.Error(err)
		return
	}
	c, err := net.DialTimeout("tcp", p.Addr(), silenceTimeout)
	if err == nil {
		_ = c.Close()
		t.Error("a muted proxy answered a connect")
	}
}
