//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep.
const upkeepTime = 2 * time.Second

// cloud is a stand-in of the service that takes machines down.
type cloud struct {
	site *site
	mu   sync.Mutex
	// fences holds the highest fencing token by machine.
	fences map[string]uint64
	// done holds the machines of each wave whose upkeep has begun.
	done map[string]bool
	wave map[string]bool // the machines of the wave
	// down holds the machines that are down for their upkeep now.
	down  map[string]bool
	limit int
	// late is called with each order before it is carried out. If it returns
	// true, the order gets no answer, and late calls carry when it is time.
	late func(holder, machine string, carry func()) bool
	// ordered counts the orders, ended the upkeeps that have ended.
	ordered, ended int
}

// orders returns how many orders the service has received.
func (c *cloud) orders() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ordered
}

// finished returns how many upkeeps have ended.
func (c *cloud) finished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// isDown reports whether a machine is down for its upkeep.
func (c *cloud) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.down) > 0
}

func newCloud(s *site) *cloud {
	return &cloud{site: s, fences: map[string]uint64{}, done: map[string]bool{}, wave: map[string]bool{}, down: map[string]bool{}}
}

// ServeHTTP answers one call.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/machines" {
		c.list(w)
		return
	}
	var in struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	fence, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	holder := r.Header.Get("Duty-Holder")
	if r.URL.Path != "/machine-upkeep" || err != nil || holder == "" || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.ordered++
	c.mu.Unlock()
	c.site.log("order upkeep of %s (wave %d) from holder %s, token %d", in.Machine, in.Wave, holder, fence)
	if c.late != nil && c.late(holder, in.Machine, func() {
		status, reason := c.carry(in.Machine, holder, fence)
		c.site.log("late order: upkeep of %s from holder %s, token %d: %d %s", in.Machine, holder, fence, status, reason)
	}) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := c.carry(in.Machine, holder, fence)
	c.site.log("answer upkeep of %s to %s: %d %s", in.Machine, holder, status, reason)
	if reason == "" {
		respond(w, status, struct{}{})
		return
	}
	respond(w, status, map[string]string{"Reason": reason})
}

// list answers GET /machines.
func (c *cloud) list(w http.ResponseWriter) {
	rows := []map[string]any{}
	for _, e := range c.site.executors {
		e.mu.Lock()
		row := map[string]any{"machine": e.machine, "pool": service, "State": "up", "Zone": zone, "Labels": []string{"a", e.rack}, "Capacity": c.site.capacity, "Id": e.id}
		if e.id == "" {
			row["State"], row["Id"] = "down", nil
			if e.upkeep {
				row["State"] = "upkeep"
			}
		}
		e.mu.Unlock()
		rows = append(rows, row)
	}
	respond(w, http.StatusOK, map[string]any{"Machines": rows, "NextToken": nil})
}

// carry carries an order to take a machine down out, and returns the answer.
func (c *cloud) carry(machine, holder string, fence uint64) (int, string) {
	var e *executor
	for _, x := range c.site.executors {
		if x.machine == machine {
			e = x
		}
	}
	if e == nil {
		return http.StatusBadRequest, ""
	}
	c.mu.Lock()
	if fence < c.fences[machine] {
		c.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	c.fences[machine] = fence
	if !c.wave[machine] {
		c.mu.Unlock()
		return http.StatusConflict, "wave"
	}
	if c.done[machine] {
		c.mu.Unlock()
		return http.StatusOK, ""
	}
	e.mu.Lock()
	up := e.id != ""
	e.upkeep = up
	e.mu.Unlock()
	if !up {
		c.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	var already []string
	for m := range c.down {
		already = append(already, m)
	}
	c.done[machine], c.down[machine] = true, true
	limit := c.limit
	c.mu.Unlock()
	c.site.log("upkeep of %s begins by order of %s; down before: %s", machine, holder, strings.Join(already, " "))
	if len(already) >= limit {
		c.site.broken("LIMIT: the upkeep of %s begins while %d machine(s) of its wave (%s) are down for theirs, UpperLimit %d", machine, len(already), strings.Join(already, " "), limit)
	}
	e.crash()
	time.AfterFunc(upkeepTime, func() {
		if err := e.start(); err != nil {
			c.site.log("executor of %s doesn't start: %v", machine, err)
		}
		c.mu.Lock()
		delete(c.down, machine)
		c.ended++
		c.mu.Unlock()
		c.site.log("upkeep of %s has ended", machine)
	})
	return http.StatusOK, ""
}
