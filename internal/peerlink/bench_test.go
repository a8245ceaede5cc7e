package peerlink_test

import (
	"slices"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/faultproxy"
)

// BenchmarkSilence measures over real sockets, from the moment a connection
// goes silent, the time until its peer receives the next frame and until both
// sides are closed. Run it with -benchtime 50x. It reports the median and the
// maximum in milliseconds.
func BenchmarkSilence(b *testing.B) {
	for name, d := range map[string]faultproxy.Direction{"both": faultproxy.Both, "to-target": faultproxy.ToTarget} {
		b.Run(name, func(b *testing.B) {
			w := newPair(b)
			go w.beat()
			var heard, freed []time.Duration
			for i := range b.N {
				from := w.sent.Load()
				await(b, nil, func() bool { return w.heard.Load() > from && w.proxy.OpenCount() == 1 })
				time.Sleep(time.Duration(i%10) * 100 * time.Millisecond)
				w.proxy.Silence(d)
				time.Sleep(2 * frameInterval) // frames in transit arrive
				from = w.heard.Load()
				began := time.Now()
				await(b, nil, func() bool { return w.heard.Load() > from })
				heard = append(heard, time.Since(began))
				await(b, nil, func() bool { return w.proxy.OpenCount() == 1 })
				freed = append(freed, time.Since(began))
			}
			for what, times := range map[string][]time.Duration{"heard": heard, "freed": freed} {
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), what+"-median-ms")
				b.ReportMetric(float64(times[len(times)-1].Milliseconds()), what+"-worst-ms")
			}
		})
	}
}
