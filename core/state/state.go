package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/witness"
)

// Bounds of the state. Everything that grows with use has one.
const (
	// Window is the number of records within which a batch must be applied and
	// for which the key of a request stays claimed. At the log's full rate of 100
	// records a second it is more than an hour.
	Window = 400_000
	// maxKeys bounds the claimed keys. When it is reached, further claims are
	// void and their requests are refused as not run.
	maxKeys = 100_000
	// maxJobs bounds the jobs that have not ended.
	maxJobs = 50_000
	// maxEnded is the number of ended jobs that are remembered. The oldest are
	// forgotten first.
	maxEnded = 10_000
)

// JobState is a state of the job's chart.
type JobState string

// Pending and Running are the states in which a job has not ended.
const (
	Pending JobState = "pending"
	Running JobState = "running"
)

// Job is a job and what became of it.
type Job struct {
	Spec record.Job `cbor:"1,keyasint" json:"spec"`
	// State follows the chart of the job.
	State JobState `cbor:"2,keyasint" json:"state"`
	// Attempt counts the placements. A job that must not be repeated has at
	// most one.
	Attempt int `cbor:"3,keyasint" json:"attempt"`
	// Block, Cell and Home describe the current placement; they are valid while
	// State is Running and keep the last placement afterwards.
	Block block.Block `cbor:"4,keyasint" json:"block"`
	Cell  record.Cell `cbor:"5,keyasint" json:"cell"`
	Home  block.Block `cbor:"6,keyasint" json:"home"`
	// Lease is that of the last placement.
	Lease id.Lease `cbor:"9,keyasint" json:"lease"`
	// Reason says why the job ended as it did, in words.
	Reason string `cbor:"7,keyasint,omitempty" json:"reason,omitempty"`
	// Changed is the offset of the last record that changed the job.
	Changed id.Offset `cbor:"8,keyasint" json:"changed"`
}

// Firm reports whether the job's placement holds accelerators that can't be taken
// back: it uses a guarantee, or it must not be repeated.
func (j *Job) Firm() bool {
	return j.State == Running && (j.Cell.Guarantee != "" || j.Spec.Once)
}

// Owner is the host that schedules.
type Owner struct {
	Host id.Host `cbor:"1,keyasint" json:"host"`
	// Epoch only grows.
	Epoch id.Epoch `cbor:"2,keyasint" json:"epoch"`
}

// Writer is what is remembered of one life of one host.
type Writer struct {
	// Seq is the last batch applied; earlier ones are duplicates.
	Seq id.Seq `cbor:"1,keyasint"`
	// Last is the offset of that batch.
	Last id.Offset `cbor:"2,keyasint"`
}

// Life names a writer.
type Life struct {
	Host        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
}

// Key names a request that must not be repeated.
type Key struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Key      string      `cbor:"2,keyasint"`
}

// Claim is the holder of a Key.
type Claim struct {
	Host    id.Host    `cbor:"1,keyasint"`
	Request id.Request `cbor:"2,keyasint"`
	// At is the offset of the claim; it is dropped Window records later.
	At id.Offset `cbor:"3,keyasint"`
}

// State is the replayed state. It is not safe for concurrent use. Readers must not
// change what its fields refer to.
type State struct {
	// Applied is the offset of the last record applied; it only grows.
	Applied id.Offset
	// Config is the configuration in force and ConfigAt the offset of the record
	// that set it; ConfigAt only grows.
	Config   config.Config
	ConfigAt id.Offset
	Owner    Owner
	Jobs     map[id.Job]*Job
	Writers  map[Life]Writer
	Keys     map[Key]Claim
	// Spare is the standing witness: a place for each guaranteed block that is not
	// in use. The places are disjoint, usable, and clear of every job that can't be
	// preempted.
	Spare witness.Witness

	// running is the part of Jobs that runs.
	running map[id.Job]*Job
	// keyOrder and ended list keys and ended jobs, oldest first, for forgetting.
	keyOrder []Key
	ended    []id.Job
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Config:  config.New(),
		Jobs:    map[id.Job]*Job{},
		Writers: map[Life]Writer{},
		Keys:    map[Key]Claim{},
		Spare:   witness.Witness{},
		running: map[id.Job]*Job{},
	}
}

// image is the encoded form of a State. Maps with struct keys become sorted lists.
type image struct {
	Applied  id.Offset     `cbor:"1,keyasint"`
	Config   config.Config `cbor:"2,keyasint"`
	ConfigAt id.Offset     `cbor:"3,keyasint"`
	Owner    Owner         `cbor:"4,keyasint"`
	Jobs     []*Job        `cbor:"5,keyasint"`
	Writers  []writerImage `cbor:"6,keyasint"`
	Keys     []keyImage    `cbor:"7,keyasint"`
	Ended    []id.Job      `cbor:"8,keyasint"`
	Spare    []spareImage  `cbor:"9,keyasint"`
}

type spareImage struct {
	Cell  record.Cell `cbor:"1,keyasint"`
	Block block.Block `cbor:"2,keyasint"`
}

type writerImage struct {
	Life   Life   `cbor:"1,keyasint"`
	Writer Writer `cbor:"2,keyasint"`
}

type keyImage struct {
	Key   Key   `cbor:"1,keyasint"`
	Claim Claim `cbor:"2,keyasint"`
}

var images = codec.New[image]()

// Snapshot returns the state as bytes. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	im := image{
		Applied: s.Applied, Config: s.Config, ConfigAt: s.ConfigAt,
		Owner: s.Owner, Ended: s.ended,
	}
	for _, k := range config.Sorted(s.Jobs) {
		im.Jobs = append(im.Jobs, s.Jobs[k])
	}
	for _, l := range s.lives() {
		im.Writers = append(im.Writers, writerImage{l, s.Writers[l]})
	}
	for _, k := range s.keyOrder {
		im.Keys = append(im.Keys, keyImage{k, s.Keys[k]})
	}
	for _, c := range s.Spare.Cells() {
		im.Spare = append(im.Spare, spareImage{c, s.Spare[c]})
	}
	return images.Encode(im)
}

// Restore replaces the state by a snapshot. It returns ErrSnapshot, and changes
// nothing, if the snapshot is damaged or covers less than the state does.
func (s *State) Restore(data []byte, digest uint64) error {
	if xxhash.Sum64(data) != digest {
		return fmt.Errorf("%w: digest mismatch", ErrSnapshot)
	}
	im, err := images.Decode(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if im.Applied < s.Applied || im.ConfigAt < s.ConfigAt || im.Owner.Epoch < s.Owner.Epoch {
		return fmt.Errorf("%w: covers offset %d, the state has %d", ErrSnapshot, im.Applied, s.Applied)
	}
	n := New()
	n.Applied, n.Config, n.ConfigAt, n.Owner, n.ended = im.Applied, im.Config, im.ConfigAt, im.Owner, im.Ended
	for _, j := range im.Jobs {
		n.Jobs[j.Spec.ID] = j
		if j.State == Running {
			n.running[j.Spec.ID] = j
		}
	}
	for _, w := range im.Writers {
		n.Writers[w.Life] = w.Writer
	}
	for _, k := range im.Keys {
		n.Keys[k.Key] = k.Claim
		n.keyOrder = append(n.keyOrder, k.Key)
	}
	for _, p := range im.Spare {
		n.Spare[p.Cell] = p.Block
	}
	*s = *n
	return nil
}

// Digest returns a hash of the whole state. Hosts that applied the same records
// have the same digest; anything else is a fault of the program.
func (s *State) Digest() (uint64, error) {
	data, err := s.Snapshot()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}
