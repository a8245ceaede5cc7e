package faultproxy_test

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// TestRefusedPortReserved guards against a port that another socket of the machine is
// given while the proxy refuses connects, so that it can't listen there again.
func TestRefusedPortReserved(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	p, err := faultproxy.New(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	for range 3 {
		if err := p.RefuseConnects(); err != nil {
			t.Fatal(err)
		}
		if _, err := net.Dial("tcp", p.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a connect while connects are refused: %v", err)
		}
		if err := bindAlone(t, p.Addr()); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("another socket binds to the port: %v", err)
		}
		if err := p.AcceptConnects(); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}

// bindAlone binds a socket to an address as one that shares it with no other, and
// closes it.
func bindAlone(t *testing.T, address string) error {
	t.Helper()
	at := netip.MustParseAddrPort(address)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	return syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()})
}
