package entry

import "testing"

// TestRoomForMembers checks that the group has room for all hosts before it is full, and no more
// partitions than needed on a small site.
func TestRoomForMembers(t *testing.T) {
	for _, c := range []struct{ shown, room, want int }{
		{0, 64, 64}, {8, 64, 64}, {41, 64, 64}, {47, 64, 64}, {48, 64, 128}, {72, 64, 128}, {100, 128, 256}, {301, 256, 512}, {512, 512, 512},
	} {
		if got := roomForMembers(c.shown, c.room); got != c.want {
			t.Errorf("%d hosts shown with room for %d: room for %d, want %d", c.shown, c.room, got, c.want)
		}
		if got := len(memberTopics(12, c.want)) * 12; got < c.want {
			t.Errorf("topics with %d partitions for %d hosts", got, c.want)
		}
	}
}
