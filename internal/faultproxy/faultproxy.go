// Package faultproxy is a loopback TCP proxy that injects faults on demand.
// Tests and the soak place it between a program and its peers; the product
// doesn't import it.
//
// The local kernel acknowledges whatever reaches the proxy. A connection that
// the proxy has silenced therefore looks healthy to TCP's keepalive probes and
// timeouts, and only a timeout or a heartbeat of the program detects that it is
// dead.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Direction is the set of directions of a connection that a fault affects.
type Direction int

// The directions. Both is their union.
const (
	// ToTarget is from the client, which opened the connection, to the target.
	ToTarget Direction = 1 << iota
	// FromTarget is from the target to the client.
	FromTarget
	Both = ToTarget | FromTarget
)

// chunkSize is how many bytes are forwarded at a time.
const chunkSize = 32 << 10

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener *net.TCPListener
	target   string
	// conns holds the open connections.
	conns map[*conn]struct{}
	// cut holds the directions in which bytes are held back at present. The
	// channel healed is closed while cut holds no direction.
	cut    Direction
	healed chan struct{}
	// delay is how long each chunk is delayed.
	delay time.Duration
	// refusing is set while the port is closed, which reserved keeps from being given
	// to another socket; nil if that failed. muted is set while connects go
	// unanswered; during this time, fillers are the connections that fill the
	// accept queue.
	refusing bool
	reserved *os.File
	muted    *mutePeriod
	fillers  []net.Conn
	closed   bool
}

// New returns a proxy that listens on a free loopback port and forwards
// connections to the target.
func New(target string) (*Proxy, error) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		address: l.Addr().String(), listener: l, target: target, conns: map[*conn]struct{}{}, healed: make(chan struct{}),
	}
	close(p.healed)
	go p.accept(l)
	return p, nil
}

// listen listens on an address of this machine.
func listen(address string) (*net.TCPListener, error) {
	at, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	l, err := net.ListenTCP("tcp", at)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	return l, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.address }

// OpenCount returns the number of open connections.
func (p *Proxy) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Silence makes the connections that are open now forward nothing more in a
// direction, permanently and without a reset. What is sent there is
// acknowledged and dropped, and a close in that direction isn't forwarded. New
// connections aren't affected.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.openConns() {
		c.silence(d)
	}
}

// Reset resets all open connections and returns how many there were.
func (p *Proxy) Reset() int {
	conns := p.openConns()
	for _, c := range conns {
		c.reset()
	}
	return len(conns)
}

// SetDelay sets how long each chunk of bytes is delayed, on open connections
// too.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut holds back all bytes of open and new connections in a direction. Heal
// forwards them.
func (p *Proxy) Cut(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == 0 {
		p.healed = make(chan struct{})
	}
	p.cut |= d
}

// Heal ends Cut in all directions.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != 0 {
		p.cut = 0
		close(p.healed)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	err := p.AcceptConnects()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err = errors.Join(err, p.listener.Close())
	p.Heal()
	p.Reset()
	return err
}

// openConns returns the open connections.
func (p *Proxy) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// accept accepts connections until the listener is closed.
func (p *Proxy) accept(l *net.TCPListener) {
	for {
		client, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.awaitUnmute()
		case err != nil:
			return // the listener is closed
		default:
			go p.serve(client)
		}
	}
}

// awaitUnmute reports that nothing is being accepted any more, and waits until
// connects are answered again.
func (p *Proxy) awaitUnmute() {
	p.mu.Lock()
	muted := p.muted
	p.mu.Unlock()
	if muted != nil {
		muted.idleOnce.Do(func() { close(muted.acceptIdle) })
		<-muted.ended
	}
}

// serve connects to the target and forwards bytes both ways until the
// connection ends.
func (p *Proxy) serve(client net.Conn) {
	p.mu.Lock()
	address := p.target
	p.mu.Unlock()
	target, err := net.Dial("tcp", address)
	if err != nil {
		resetConn(client)
		return
	}
	c := &conn{proxy: p, client: client, target: target}
	if !p.add(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.forward(target, client, ToTarget) })
	both.Go(func() { c.forward(client, target, FromTarget) })
	both.Wait()
	p.remove(c)
}

// add registers an open connection. It reports false if the proxy is closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// remove unregisters a connection that has ended.
func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// waitToForward waits until the next chunk may be forwarded in a direction. It
// waits for the delay of a chunk and then, if the direction is cut, for a call
// of Heal.
func (p *Proxy) waitToForward(d Direction) {
	p.mu.Lock()
	delay, cut, healed := p.delay, p.cut&d != 0, p.healed
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if cut {
		<-healed
	}
}
