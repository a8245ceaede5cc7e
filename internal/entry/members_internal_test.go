package entry

import "testing"

// TestRoomForMembers checks that the group's room, the number of hosts for
// which it has partitions, grows before it is full. It also checks that a small
// site has no more partitions than needed.
func TestRoomForMembers(t *testing.T) {
	for _, c := range []struct{ listed, room, want int }{
		{0, 64, 64}, {8, 64, 64}, {41, 64, 64}, {47, 64, 64}, {48, 64, 128}, {72, 64, 128}, {100, 128, 256}, {301, 256, 512}, {512, 512, 512},
	} {
		if got := roomForMembers(c.listed, c.room); got != c.want {
			t.Errorf("%d hosts listed with room for %d: new room %d, want %d", c.listed, c.room, got, c.want)
		}
		if got := len(memberTopics(12, c.want)) * 12; got < c.want {
			t.Errorf("topics have %d partitions for %d hosts", got, c.want)
		}
	}
}
