package hostile

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

// sampleInterval is the pause between two samples of a process's usage.
const sampleInterval = 20 * time.Millisecond

// usage is the greatest usage of a process that was seen. resident comes from the
// kernel, which misses no peak; the others are sampled.
type usage struct {
	// total is the resident memory and the unread bytes at the same time, in bytes.
	total int
	// resident is the resident memory, unread the bytes in the kernel that the
	// process hasn't read, and that the clients haven't received, in bytes.
	resident, unread int
	descriptors      int
}

// meter samples the usage of a process.
type meter struct {
	pid, port int
	quit      chan struct{}
	done      chan usage
}

func newMeter(p *target) *meter {
	_, port, err := net.SplitHostPort(p.crowdAddress)
	if err != nil {
		panic(err) // the process has logged it as an address
	}
	n, _ := strconv.Atoi(port)
	m := &meter{pid: p.cmd.Process.Pid, port: n, quit: make(chan struct{}), done: make(chan usage)}
	go m.run()
	return m
}

// stop ends the sampling and returns the peaks.
func (m *meter) stop() usage {
	close(m.quit)
	return <-m.done
}

func (m *meter) run() {
	var peak usage
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		unread := m.unread()
		peak.unread = max(peak.unread, unread)
		peak.total = max(peak.total, m.status("VmRSS:")+unread)
		peak.resident = max(peak.resident, m.status("VmHWM:"))
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.pid)); err == nil {
			peak.descriptors = max(peak.descriptors, len(open))
		}
		select {
		case <-m.quit:
			m.done <- peak
			return
		case <-t.C:
		}
	}
}

// status returns a size from the process's status, in bytes.
func (m *meter) status(name string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0 // the process has ended, which the test checks
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, _ := strconv.Atoi(f[1])
			return n << 10
		}
	}
	return 0
}

// unread returns the bytes in the queues of the connections on the crowd's listener.
func (m *meter) unread() int {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	port, sum := fmt.Sprintf(":%04X", m.port), 0
	for in := bufio.NewScanner(f); in.Scan(); {
		w := strings.Fields(in.Text())
		if len(w) < 5 || !strings.HasSuffix(w[1], port) || w[3] == "0A" {
			continue // of another port, or the listener, whose queue counts connections
		}
		sent, received, _ := strings.Cut(w[4], ":")
		for _, q := range []string{sent, received} {
			n, _ := strconv.ParseInt(q, 16, 64)
			sum += int(n)
		}
	}
	return sum
}
