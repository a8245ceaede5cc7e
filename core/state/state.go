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

// Bounds of the state, so that it can't grow without limit.
const (
	// Window is the maximum number of records between the basis of a batch,
	// which is the last record that its writer had applied, and the batch
	// itself. It is also the number of records for which an idempotency key
	// stays claimed. At the log's maximum rate of 100 records per second it is
	// more than an hour.
	Window = 400_000
	// maxKeys is the maximum number of claimed keys. When it is reached, further
	// claims are void and their requests are rejected as not run.
	maxKeys = 100_000
	// maxJobs is the maximum number of jobs that haven't ended.
	maxJobs = 50_000
	// maxEnded is the maximum number of ended jobs that are kept. The oldest are
	// removed first.
	maxEnded = 10_000
)

// JobState is a state of the job's state chart (job.chart).
type JobState string

// Pending and Running are the states of a job that hasn't ended.
const (
	Pending JobState = "pending"
	Running JobState = "running"
)

// Job is a submitted job with its state.
type Job struct {
	Spec record.Job `cbor:"1,keyasint" json:"spec"`
	// State is the state of the job's state chart.
	State JobState `cbor:"2,keyasint" json:"state"`
	// Attempt is the number of placements, at most one for a job that must not be
	// repeated.
	Attempt int `cbor:"3,keyasint" json:"attempt"`
	// Block, Cell and Home describe the current placement while State is Running,
	// and the last placement afterwards.
	Block block.Block `cbor:"4,keyasint" json:"block"`
	Cell  record.Cell `cbor:"5,keyasint" json:"cell"`
	Home  block.Block `cbor:"6,keyasint" json:"home"`
	// Lease is the lease of the last placement.
	Lease id.Lease `cbor:"9,keyasint" json:"lease"`
	// Reason is a text that explains the outcome of the job.
	Reason string `cbor:"7,keyasint,omitempty" json:"reason,omitempty"`
	// Changed is the offset of the last record that changed the job.
	Changed id.Offset `cbor:"8,keyasint" json:"changed"`
}

// NonPreemptible reports whether the job runs and can't be preempted, because it
// uses a guarantee or must not be repeated.
func (j *Job) NonPreemptible() bool {
	return j.State == Running && (j.Cell.Guarantee != "" || j.Spec.AtMostOnce)
}

// Owner is the host that owns scheduling.
type Owner struct {
	Host id.Host `cbor:"1,keyasint" json:"host"`
	// Epoch is the offset of the accepted claim; it never decreases.
	Epoch id.Epoch `cbor:"2,keyasint" json:"epoch"`
}

// Writer records the last applied batch of one incarnation of one host.
type Writer struct {
	// Seq is the sequence number of the last batch applied. A batch with the same
	// or a lower number is a duplicate.
	Seq id.Seq `cbor:"1,keyasint"`
	// Last is the offset of that batch.
	Last id.Offset `cbor:"2,keyasint"`
}

// WriterID identifies a writer: one incarnation of one host.
type WriterID struct {
	Host        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
}

// Key identifies a request that must run at most once, by its customer and the
// idempotency key that the caller gave.
type Key struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Key      string      `cbor:"2,keyasint"`
}

// KeyHolder says which request, on which host, has claimed a Key.
type KeyHolder struct {
	Host    id.Host    `cbor:"1,keyasint"`
	Request id.Request `cbor:"2,keyasint"`
	// At is the offset of the claim, which is removed Window records later.
	At id.Offset `cbor:"3,keyasint"`
}

// State is the replayed state. It is not safe for concurrent use. Readers must not
// modify the maps and values to which its fields refer.
type State struct {
	// Applied is the offset of the last record applied; it never decreases.
	Applied id.Offset
	// Config is the configuration in force and ConfigAt the offset of the record
	// that set it. ConfigAt never decreases.
	Config   config.Config
	ConfigAt id.Offset
	Owner    Owner
	Jobs     map[id.Job]*Job
	Writers  map[WriterID]Writer
	Keys     map[Key]KeyHolder
	// Witness is the current witness (see package witness): a place for each
	// guaranteed block that isn't in use. The places are usable and overlap neither
	// each other nor a job that can't be preempted.
	Witness witness.Witness

	// running is the subset of Jobs in state Running.
	running map[id.Job]*Job
	// keyOrder and ended list the claimed keys and the ended jobs, oldest first, in
	// the order in which prune removes them.
	keyOrder []Key
	ended    []id.Job
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Config:  config.New(),
		Jobs:    map[id.Job]*Job{},
		Writers: map[WriterID]Writer{},
		Keys:    map[Key]KeyHolder{},
		Witness: witness.Witness{},
		running: map[id.Job]*Job{},
	}
}

// image is the encoded form of a State. Maps with struct keys become sorted lists.
type image struct {
	Applied  id.Offset      `cbor:"1,keyasint"`
	Config   config.Config  `cbor:"2,keyasint"`
	ConfigAt id.Offset      `cbor:"3,keyasint"`
	Owner    Owner          `cbor:"4,keyasint"`
	Jobs     []*Job         `cbor:"5,keyasint"`
	Writers  []writerImage  `cbor:"6,keyasint"`
	Keys     []keyImage     `cbor:"7,keyasint"`
	Ended    []id.Job       `cbor:"8,keyasint"`
	Witness  []witnessImage `cbor:"9,keyasint"`
}

type witnessImage struct {
	Cell  record.Cell `cbor:"1,keyasint"`
	Block block.Block `cbor:"2,keyasint"`
}

type writerImage struct {
	ID     WriterID `cbor:"1,keyasint"`
	Writer Writer   `cbor:"2,keyasint"`
}

type keyImage struct {
	Key    Key       `cbor:"1,keyasint"`
	Holder KeyHolder `cbor:"2,keyasint"`
}

var images = codec.New[image]()

// Snapshot returns the encoding of the state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	im := image{
		Applied: s.Applied, Config: s.Config, ConfigAt: s.ConfigAt,
		Owner: s.Owner, Ended: s.ended,
	}
	for _, k := range config.SortedKeys(s.Jobs) {
		im.Jobs = append(im.Jobs, s.Jobs[k])
	}
	for _, w := range s.sortedWriters() {
		im.Writers = append(im.Writers, writerImage{w, s.Writers[w]})
	}
	for _, k := range s.keyOrder {
		im.Keys = append(im.Keys, keyImage{k, s.Keys[k]})
	}
	for _, c := range s.Witness.Cells() {
		im.Witness = append(im.Witness, witnessImage{c, s.Witness[c]})
	}
	return images.Encode(im)
}

// Restore replaces the state by a snapshot. If the snapshot is damaged or older than
// the state, it returns ErrSnapshot and leaves the state unchanged.
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
		n.Writers[w.ID] = w.Writer
	}
	for _, k := range im.Keys {
		n.Keys[k.Key] = k.Holder
		n.keyOrder = append(n.keyOrder, k.Key)
	}
	for _, p := range im.Witness {
		n.Witness[p.Cell] = p.Block
	}
	*s = *n
	return nil
}

// Digest returns a hash of the whole state. Hosts that applied the same records have
// the same digest; a difference is a bug.
func (s *State) Digest() (uint64, error) {
	data, err := s.Snapshot()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}
