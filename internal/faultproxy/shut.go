package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// fillTimeout is how long a connect must go unanswered to count as dropped
	// by a full accept queue.
	fillTimeout = 30 * time.Millisecond
	// maxFillers bounds the connects that fill the accept queue; the kernel
	// queues one connection more than the backlog says.
	maxFillers = 8
	// relistenTimeout is how long AcceptConnects tries to listen on the port
	// again if another socket of this machine has taken it.
	relistenTimeout = 2 * time.Second
	// relistenInterval is the pause between two of these tries.
	relistenInterval = 20 * time.Millisecond
	// defaultBacklog is the length of the accept queue in normal operation.
	defaultBacklog = 128
)

// errNotFull reports an accept queue that can't be filled.
var errNotFull = errors.New("faultproxy: connects are still answered")

// mutePeriod is a period in which connects go unanswered: it begins with
// IgnoreConnects, and ends with AcceptConnects or RefuseConnects.
type mutePeriod struct {
	// acceptIdle is closed, once, when no accept is in flight any more. ended
	// is closed when connects are answered again.
	acceptIdle, ended chan struct{}
	idleOnce          sync.Once
}

// RefuseConnects resets all connections and closes the port until
// AcceptConnects. Connects are then refused, as by a machine that runs but has
// no listener there.
func (p *Proxy) RefuseConnects() error {
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
	p.reserved, _ = reserve(p.address) // without it, AcceptConnects tries to get the port back
	p.mu.Unlock()
	p.Reset()
	return err
}

// IgnoreConnects lets connects go unanswered until AcceptConnects, as for a
// machine that is off or behind a network partition: nothing is accepted, and
// the kernel drops connects that the full accept queue has no room for. Open
// connections aren't affected.
func (p *Proxy) IgnoreConnects() error {
	p.mu.Lock()
	if p.refusing || p.closed || p.muted != nil {
		p.mu.Unlock()
		return nil
	}
	muted := &mutePeriod{acceptIdle: make(chan struct{}), ended: make(chan struct{})}
	p.muted = muted
	err := errors.Join(p.listener.SetDeadline(time.Unix(1, 0)), setBacklog(p.listener, 0))
	p.mu.Unlock()
	if err != nil {
		return err
	}
	// An accept that is in flight may take one more connection from the queue.
	// If the queue was filled before that, it would have room again.
	select {
	case <-muted.acceptIdle:
		return p.fill(muted)
	case <-muted.ended:
		return nil
	}
}

// fill opens connections until one goes unanswered, or until its mute period
// has ended. A connect may also go unanswered because this machine is busy.
// Therefore an unanswered connect only shows a full queue if an earlier connect
// was queued, or if maxFillers connects in a row go unanswered.
func (p *Proxy) fill(muted *mutePeriod) error {
	queued := false
	for range maxFillers {
		c, err := net.DialTimeout("tcp", p.address, fillTimeout)
		if netErr, ok := errors.AsType[net.Error](err); ok && netErr.Timeout() {
			if queued {
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
		queued = true
	}
	if queued {
		return errNotFull
	}
	return nil
}

// keepFiller keeps a connection that fills the accept queue. c is nil if the
// connect failed. If the mute period has ended, keepFiller closes c and reports
// false. A failed connect is no error in this case, since the port may have been
// closed during the connect.
func (p *Proxy) keepFiller(muted *mutePeriod, c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.muted == muted
	switch {
	case c == nil:
	case current:
		p.fillers = append(p.fillers, c)
	default:
		_ = c.Close() // no data was sent on it
	}
	return current
}

// AcceptConnects ends RefuseConnects and IgnoreConnects. The proxy listens on
// the same address as before.
func (p *Proxy) AcceptConnects() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil
	case p.refusing:
		l, err := p.listenAgain()
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

// unmute ends the mute period. The proxy is locked.
func (p *Proxy) unmute() error {
	for _, c := range p.fillers {
		_ = c.Close() // no data was sent on it
	}
	p.fillers = nil
	err := errors.Join(setBacklog(p.listener, defaultBacklog), p.listener.SetDeadline(time.Time{}))
	close(p.muted.ended)
	p.muted = nil
	return err
}

// reserve binds a socket to an address without listening on it: connects are refused,
// and no other socket of this machine is given the port meanwhile.
func reserve(address string) (*os.File, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	// Connections of the former listener may still use the port.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("faultproxy: %w", err), syscall.Close(fd))
	}
	return os.NewFile(uintptr(fd), address), nil
}

// listenAgain listens on the address that the proxy has listened on before. The proxy
// is locked.
func (p *Proxy) listenAgain() (*net.TCPListener, error) {
	if p.reserved == nil {
		return retryListen(p.address)
	}
	f := p.reserved
	p.reserved = nil
	if err := syscall.Listen(int(f.Fd()), defaultBacklog); err != nil {
		_ = f.Close() // nothing was sent on it
		return retryListen(p.address)
	}
	l, err := net.FileListener(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, fmt.Errorf("faultproxy: %w", err)
	}
	return l.(*net.TCPListener), nil // the file is that of a TCP socket
}

// retryListen listens on an address, and retries until relistenTimeout.
func retryListen(address string) (*net.TCPListener, error) {
	for deadline := time.Now().Add(relistenTimeout); ; time.Sleep(relistenInterval) {
		l, err := listen(address)
		if err == nil || time.Now().After(deadline) {
			return l, err
		}
	}
}

// setBacklog sets how many connections the accept queue of a listener holds.
func setBacklog(l *net.TCPListener, n int) error {
	c, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("faultproxy: %w", err)
	}
	var listenErr error
	err = c.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}

// SetTarget sets the target of connections that are accepted from now on.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}
