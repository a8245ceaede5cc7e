package dispatch_test

import "fmt"

// collect formats the orders as lines.
func (s *script) collect() {
	o := s.d.TakeOrders()
	for _, x := range o.Starts {
		s.starts[x.Task.String()] = x
		line := fmt.Sprintf("start %s run %d on %s", x.Task, x.Run, x.Worker)
		if x.Checkpoint != "" {
			line += " from " + x.Checkpoint
		}
		if x.Ticket != "" {
			line += " with " + x.Ticket
		}
		s.lines = append(s.lines, line)
	}
	for _, x := range o.Stops {
		s.stops[x.Task.String()] = x
		s.lines = append(s.lines, fmt.Sprintf("stop %s run %d on %s", x.Task, x.Run, x.Worker))
	}
	for _, x := range o.Renews {
		s.renews[string(x.Worker)] = x
		s.sent[string(x.Worker)] = s.now
		s.lines = append(s.lines, fmt.Sprintf("renew %s told %d", x.Worker, x.AckedEnd))
		s.waits[string(x.Worker)] = x.Wait
	}
	for _, x := range o.Paces {
		s.paces[x.Task.String()] = x
		s.lines = append(s.lines, fmt.Sprintf("pace %s run %d on %s to %d", x.Task, x.Run, x.Worker, x.Percent))
	}
	for _, x := range o.Upkeeps {
		s.upkeeps[string(x.Machine)] = x
		s.lines = append(s.lines, fmt.Sprintf("upkeep %s of wave %d", x.Machine, x.Wave))
	}
	for _, x := range o.Reports {
		s.lines = append(s.lines, fmt.Sprintf("report wave %d finished %t", x.Wave, x.Finished))
	}
	for _, x := range o.Asks {
		s.asks, s.asked = append(s.asks, x), s.now
		line := fmt.Sprintf("ask %s on %v", x.Step, x.Workers)
		if x.Adviser > 0 {
			line += fmt.Sprintf(" by %d", x.Adviser)
		}
		s.lines = append(s.lines, line)
	}
}
