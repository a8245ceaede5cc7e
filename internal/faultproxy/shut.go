package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// fillTime is how long a connect must go unanswered for the queue before the proxy to count as full.
	fillTime = 30 * time.Millisecond
	// mostFill bounds how many connections fill that queue; the kernel takes one more than it is told.
	mostFill = 8
	// admitTime is how long Admit tries to get a port back that another socket of this machine has taken.
	admitTime = 2 * time.Second
	// admitPause is the pause between two tries.
	admitPause = 20 * time.Millisecond
	// usualQueue is how many connections wait to be accepted while nothing is wrong.
	usualQueue = 128
)

// errNotFull reports a queue that takes all connections.
var errNotFull = errors.New("faultproxy: connects are still answered")

// muting is one time of unanswered connects.
type muting struct {
	// idle is closed, once, when nothing is being accepted any more, ended when connects are answered again.
	idle, ended chan struct{}
	paused      sync.Once
}

// Refuse resets all connections and closes the port until Admit, so that connects are refused as by a
// machine that runs while nothing listens there.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	if p.refusing || p.closed {
		p.mu.Unlock()
		return nil
	}
	var err error
	if p.muted != nil {
		err = p.unmute()
	}
	p.refusing = true
	err = errors.Join(err, p.listener.Close())
	p.mu.Unlock()
	p.Reset()
	return err
}

// Mute lets connects go unanswered until Admit, as by a machine that is off or behind a cut: nothing is
// accepted, and the kernel drops what the full queue before the proxy can't take. Open connections go on.
func (p *Proxy) Mute() error {
	p.mu.Lock()
	if p.refusing || p.closed || p.muted != nil {
		p.mu.Unlock()
		return nil
	}
	muted := &muting{idle: make(chan struct{}), ended: make(chan struct{})}
	p.muted = muted
	err := errors.Join(p.listener.SetDeadline(time.Unix(1, 0)), setQueue(p.listener, 0))
	p.mu.Unlock()
	if err != nil {
		return err
	}
	// An accept that is under way may take one connection more: filled before, the queue would have room again.
	select {
	case <-muted.idle:
		return p.fill(muted)
	case <-muted.ended:
		return nil
	}
}

// fill opens connections until one goes unanswered, or until the Mute that it is part of has ended. A connect may also go unanswered because this
// machine is busy: only one that follows on a connection which waits in the queue shows that the queue is full, or else mostFill of them in a row.
func (p *Proxy) fill(muted *muting) error {
	waits := false
	for range mostFill {
		c, err := net.DialTimeout("tcp", p.address, fillTime)
		if late, ok := errors.AsType[net.Error](err); ok && late.Timeout() {
			if waits {
				return nil
			}
			continue
		}
		if !p.keepFiller(muted, c) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("faultproxy: %w", err)
		}
		waits = true
	}
	if waits {
		return errNotFull
	}
	return nil
}

// keepFiller keeps a connection that fills the queue; nil if it wasn't opened. It reports false, and closes it, if the
// Mute that it belongs to has ended: the port may have been closed under it.
func (p *Proxy) keepFiller(muted *muting, c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	mine := p.muted == muted
	switch {
	case c == nil:
	case mine:
		p.fillers = append(p.fillers, c)
	default:
		_ = c.Close() // it carried nothing
	}
	return mine
}

// Admit ends Refuse and Mute. The proxy listens at the same address as before.
func (p *Proxy) Admit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil
	case p.refusing:
		l, err := listenAgain(p.address)
		if err != nil {
			return err
		}
		p.refusing, p.listener = false, l
		go p.accept(l)
	case p.muted != nil:
		return p.unmute()
	}
	return nil
}

// unmute ends Mute. The proxy is locked.
func (p *Proxy) unmute() error {
	for _, c := range p.fillers {
		_ = c.Close() // it carried nothing
	}
	p.fillers = nil
	err := errors.Join(setQueue(p.listener, usualQueue), p.listener.SetDeadline(time.Time{}))
	close(p.muted.ended)
	p.muted = nil
	return err
}

// listenAgain listens at an address that was listened at before.
func listenAgain(address string) (*net.TCPListener, error) {
	for end := time.Now().Add(admitTime); ; time.Sleep(admitPause) {
		l, err := listen(address)
		if err == nil || time.Now().After(end) {
			return l, err
		}
	}
}

// setQueue sets how many connections may wait before a listener.
func setQueue(l *net.TCPListener, n int) error {
	c, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("faultproxy: %w", err)
	}
	var inner error
	err = c.Control(func(fd uintptr) { inner = syscall.Listen(int(fd), n) })
	return errors.Join(err, inner)
}

// SetTarget sets where connections that are opened from now on are carried.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}
