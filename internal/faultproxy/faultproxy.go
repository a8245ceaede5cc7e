// Package faultproxy is a loopback proxy of TCP connections that misbehaves when it is told to.
// Tests and the soak place it between a program and its peers; the product doesn't import it.
//
// The kernel of this machine acknowledges whatever reaches the proxy. A connection that the proxy
// has silenced therefore looks healthy to TCP's own probes and time-outs, and only a time limit or
// a heartbeat of the program shows that it is dead.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Direction says which bytes of a connection a fault concerns.
type Direction int

// The directions. Both is their union.
const (
	// ToTarget is from the one who opened the connection to the target.
	ToTarget Direction = 1 << iota
	// FromTarget is from the target back.
	FromTarget
	Both = ToTarget | FromTarget
)

// chunkSize is how many bytes are carried at once.
const chunkSize = 32 << 10

// Proxy carries connections to one target. It is safe for concurrent use.
type Proxy struct {
	address string

	mu       sync.Mutex
	listener *net.TCPListener
	target   string
	// conns holds the open connections.
	conns map[*conn]struct{}
	// cut holds the directions in which nothing moves at present, healed is closed when that ends.
	cut    Direction
	healed chan struct{}
	// delay is how long each chunk waits.
	delay time.Duration
	// refusing is set while the port is closed, muted while connects go unanswered. fillers are the connections that
	// fill the queue meanwhile.
	refusing bool
	muted    *muting
	fillers  []net.Conn
	closed   bool
}

// New returns a proxy that listens on a free port of the loopback address and carries what comes
// there to the target.
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

// listen listens at an address of this machine.
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

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.address }

// Open returns how many connections are open.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Silence makes all connections that are open now carry nothing more, for good and without a reset.
// What is sent on them is acknowledged and dropped, and neither end hears of the other's close. New
// connections work.
func (p *Proxy) Silence(d Direction) {
	for _, c := range p.open() {
		c.silence(d)
	}
}

// Reset breaks all open connections with a reset and returns how many there were.
func (p *Proxy) Reset() int {
	open := p.open()
	for _, c := range open {
		c.reset()
	}
	return len(open)
}

// SetDelay sets how long each chunk of bytes waits, on open connections too.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Cut holds back all bytes of open and new connections in a direction until Heal. They are carried
// then.
func (p *Proxy) Cut(d Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut == 0 {
		p.healed = make(chan struct{})
	}
	p.cut |= d
}

// Heal ends Cut.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != 0 {
		p.cut = 0
		close(p.healed)
	}
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() error {
	err := p.Admit()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err = errors.Join(err, p.listener.Close())
	p.Heal()
	p.Reset()
	return err
}

// open returns the connections that are open.
func (p *Proxy) open() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*conn, 0, len(p.conns))
	for c := range p.conns {
		out = append(out, c)
	}
	return out
}

// accept takes connections until the listener is closed.
func (p *Proxy) accept(l *net.TCPListener) {
	for {
		near, err := l.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.awaitSound()
		case err != nil:
			return // closed
		default:
			go p.carry(near)
		}
	}
}

// awaitSound waits until connects are answered again.
func (p *Proxy) awaitSound() {
	p.mu.Lock()
	muted := p.muted
	p.mu.Unlock()
	if muted != nil {
		muted.paused.Do(func() { close(muted.idle) })
		<-muted.ended
	}
}

// carry connects an accepted connection to the target.
func (p *Proxy) carry(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(near)
		return
	}
	c := &conn{proxy: p, near: near, far: far}
	if !p.add(c) {
		c.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.pump(far, near, ToTarget) })
	both.Go(func() { c.pump(near, far, FromTarget) })
	both.Wait()
	p.remove(c)
}

// add notes an open connection. It reports false once the proxy is closed.
func (p *Proxy) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// remove forgets a connection.
func (p *Proxy) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// hold waits as long as a chunk has to.
func (p *Proxy) hold(d Direction) {
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
