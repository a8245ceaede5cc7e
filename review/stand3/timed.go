//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// memoryLimit is Limits.MemoryMb: the platform kills a process that goes over it.
const memoryLimit = 284 << 20

// resident returns the resident memory of a host's process in bytes; 0 if it has ended.
func (h *host) resident() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(f[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// supervise does what the platform does until the time: it kills processes that go
// over their memory, and starts them again. It returns how often each has ended.
func (s *site) supervise(until time.Time) (map[string]int, error) {
	exits := map[string]int{}
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		for _, h := range s.hosts {
			if h.counted {
				continue
			}
			if used := h.resident(); used > memoryLimit {
				s.event("over-memory", "host", h.name, "bytes", used)
				h.kill()
			}
			if h.alive() {
				continue
			}
			h.counted = true
			exits[h.name]++
			time.Sleep(restartDelay)
			if _, err := s.startHost(h.name); err != nil {
				return exits, err
			}
		}
	}
	return exits, nil
}

// playTimed: a client hands in many timed jobs of many times, each a body of some 160
// bytes. Then another tenant hands in a job of one task.
func playTimed(s *site, trouble bool) (string, error) {
	if err := s.start3(3, []route{{name: "labels", priority: 1, attempts: 2}}); err != nil {
		return "", err
	}
	const plain, schedules, times = "00000000000000a6", 160, 8000
	north, south := s.newClient("key-north"), s.newClient("key-south")
	step := map[string]any{"Count": 1, "Cpu": 8000, "MemMb": 1024, "Gpus": 1, "EstimateMs": 300}
	accepted := 0
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		hosts := s.live()
		for n := range schedules {
			if !trouble {
				break
			}
			status, _ := south.call(hosts[n%len(hosts)], http.MethodPost, fmt.Sprintf("/labels/%016x", 0xd000+n), mustJSON(map[string]any{
				"TaskSpec": "done 300ms 1", "Steps": []any{step}, "FirstMs": time.Now().Add(time.Hour).UnixMilli(), "IntervalMs": 10000, "RepeatCount": times,
			}))
			if status/100 == 2 {
				accepted++
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	exits, err := s.supervise(time.Now().Add(25 * time.Second))
	if err != nil {
		return "", err
	}
	clients.Wait()
	if err := north.submit("/labels/"+plain, map[string]any{"TaskSpec": "done 300ms 1", "Steps": []any{step}}); err != nil {
		return "", err
	}
	more, err := s.supervise(time.Now().Add(40 * time.Second))
	if err != nil {
		return "", err
	}
	for name, n := range more {
		exits[name] += n
	}
	if state := north.state("/labels/" + plain); state != "completed" {
		return fmt.Sprintf("LOST: the job of 0.3 s is %q 40 s after it came, and all executors are idle; processes have gone over %d MiB, by host: %v, after %d jobs were accepted", state, memoryLimit>>20, exits, accepted), nil
	}
	return "", nil
}
