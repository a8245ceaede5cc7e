package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// errOther stands for what ends the tries.
var errOther = errors.New("other")

// TestAsk plays the tries of one call: what becomes of each, how many there are, and what is known of
// the call then.
//
// Symptom: one call of 3,200 on links that had gone silent ended unknown, on a busy machine, though
// it had seven seconds left. Sequence: the link dies under the call, and the new one isn't opened in
// time. Cause: the call was made once more at most.
func TestAsk(t *testing.T) {
	fates := map[string]error{"died": errDied, "unsent": errUnsent, "unreached": fmt.Errorf("%w: a", ErrNoPeer), "other": errOther}
	for _, x := range []struct {
		tries string
		made  int
		want  error
	}{
		{"other", 1, errOther},
		{"unreached unreached", 1, ErrNoPeer},
		{"unsent unreached", 2, ErrNoPeer},
		{"unsent died unreached died", 4, errDied},
		{"died unreached unreached unreached", 3, errDied},
		{"died died died died", 3, errDied},
	} {
		t.Run(x.tries, func(t *testing.T) {
			p := &Path{log: zap.NewNop()}
			made := 0
			_, err := p.ask(context.Background(), func(context.Context) (*link, error) {
				made++
				return nil, fates[strings.Fields(x.tries)[made-1]]
			}, call{})
			if made != x.made || !errors.Is(err, x.want) {
				t.Errorf("%d tries, %v; want %d, %v", made, err, x.made, x.want)
			}
			if errors.Is(x.want, errDied) && errors.Is(err, ErrNoPeer) {
				t.Errorf("%v says that nothing was sent", err)
			}
		})
	}
}
