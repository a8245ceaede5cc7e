package hostile

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewsill.org/curlewsill/internal/edge"
	"curlewsill.org/curlewsill/platform/standin"
)

const (
	// settleTime bounds the wait until each client has carried out its steps or
	// can't go on because the process doesn't read.
	settleTime = 12 * time.Second
	// againPause is the pause of a client before it starts over.
	againPause = 20 * time.Millisecond
)

// crowd is the clients of a case.
type crowd struct {
	scenario *scenario
	target   *target
	quit     chan struct{}
	settled  sync.WaitGroup
	ended    sync.WaitGroup
	// connected counts connections, refused the ends of connections by the process
	// before a client had carried out its steps.
	connected, refused atomic.Int64

	mu       sync.Mutex
	open     map[net.Conn]bool
	statuses map[int]int
}

// startCrowd starts all clients at once.
func startCrowd(t *testing.T, s *scenario, p *target) *crowd {
	t.Helper()
	c := &crowd{scenario: s, target: p, quit: make(chan struct{}), open: map[net.Conn]bool{}, statuses: map[int]int{}}
	c.settled.Add(s.clients)
	for i := range s.clients {
		c.ended.Go(func() { c.run(i) })
	}
	return c
}

// awaitSettled waits until all clients have carried out their steps, or settleTime.
func (c *crowd) awaitSettled() {
	done := make(chan struct{})
	go func() { c.settled.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(settleTime):
	}
}

// stop closes all connections and waits for the clients.
func (c *crowd) stop() {
	close(c.quit)
	c.mu.Lock()
	for conn := range c.open {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.ended.Wait()
}

func (c *crowd) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d connections, %d ended by the process, answers by status %v", c.connected.Load(), c.refused.Load(), c.statuses)
}

// checkWanted checks that each client has got the wanted status.
func (c *crowd) checkWanted(t *testing.T) {
	if want := c.scenario.want; want != 0 && c.statuses[want] != c.scenario.clients {
		t.Errorf("answers by status: %v, want %d with %d", c.statuses, c.scenario.clients, want)
	}
}

// stopping reports whether the crowd is to end.
func (c *crowd) stopping() bool {
	select {
	case <-c.quit:
		return true
	default:
		return false
	}
}

// run plays one client.
func (c *crowd) run(number int) {
	settled := sync.OnceFunc(c.settled.Done)
	defer settled()
	for n := 0; !c.stopping(); n++ {
		err := c.connectAndPlay(number, n, settled)
		if err != nil {
			c.refused.Add(1)
		}
		if !c.scenario.again {
			return
		}
		time.Sleep(againPause)
	}
}

// connectAndPlay carries out the steps on a new connection. It returns an error if
// the process ends the connection before.
func (c *crowd) connectAndPlay(number, n int, settled func()) error {
	conn, err := net.Dial("tcp", c.target.crowdAddress)
	if err != nil {
		return err
	}
	c.connected.Add(1)
	c.mu.Lock()
	c.open[conn] = true
	c.mu.Unlock()
	defer func() {
		_ = conn.Close()
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
	}()
	if c.stopping() {
		return nil
	}
	x := &connection{Conn: conn, in: bufio.NewReader(conn), target: c.target, client: number, n: n << 12, note: c.note}
	for pass := 0; pass == 0 || c.scenario.repeat && !c.stopping(); pass++ {
		for _, s := range c.scenario.steps {
			if err := x.carryOut(s); err != nil {
				return err
			}
		}
		settled()
	}
	switch {
	case c.scenario.unread:
		<-c.quit
	case c.scenario.hold:
		_, _ = io.Copy(io.Discard, x.in) // until the process or stop closes the connection
	}
	return nil
}

func (c *crowd) note(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

// connection is one connection of a client.
type connection struct {
	net.Conn
	in     *bufio.Reader
	target *target
	client int
	// n is the number of the next request.
	n    int
	note func(status int)
}

var errStep = errors.New("hostile: no such step")

// carryOut carries out one step:
//
//	head METHOD LENGTH|chunked       a request's head
//	body N [PIECE]                   N bytes, in writes of PIECE bytes
//	chunks SIZE N [EXTENSION]        N bytes in chunks, each with an extension of so many bytes
//	last                             the last chunk
//	job N [PIECE MS]                 a valid body of N bytes, in pieces with a pause after each
//	chunked-job N SIZE               the same in chunks of SIZE bytes, with the last chunk
//	empty-steps N                    a job of N empty steps, with its head
//	digits N                         a job whose payload is a number of N digits, with its head
//	line N                           a request line of N bytes, without end
//	field N, fields N [SIZE]         a head with one field of N bytes, or N fields of SIZE bytes, without end
//	padded METHOD LENGTH N           a complete head of N bytes
//	lines N                          N empty lines
//	trailer N                        the last chunk and a trailer of N bytes, without end
//	methods N, paths N SIZE          N complete requests, each with another method, or a path of SIZE bytes, and their answers
//	services N                       N complete requests, each for another service, with a wrong header, and their answers
//	jobs N TASKS                     N complete jobs with so many tasks, and their answers
//	pipeline N                       N complete requests whose answers aren't read
//	read                             an answer
//	pause MS                         a pause
func (x *connection) carryOut(s step) error {
	switch s.verb {
	case "head":
		return x.write(x.head(s.args[0], s.args[1], "") + "\r\n")
	case "padded":
		return x.writePaddedHead(s.args[0], s.args[1], s.number(2))
	case "body":
		return x.writePieces(bytes.Repeat([]byte("x"), s.number(0)), s.number(1), 1)
	case "chunks":
		return x.writeChunks(s.number(0), s.number(1), s.number(2))
	case "last":
		return x.write("0\r\n\r\n")
	case "job":
		return x.writePieces(jobOf(s.number(0)), s.number(1), s.number(2))
	case "chunked-job":
		return x.writeChunkedJob(jobOf(s.number(0)), s.number(1))
	case "empty-steps":
		return x.post(fmt.Sprintf(`{"TaskSpec":"x","Steps":[%s{}]}`, strings.Repeat("{},", s.number(0)-1)))
	case "digits":
		return x.post(`{"TaskSpec":` + strings.Repeat("1", s.number(0)) + `}`)
	case "field":
		return x.write(x.head("GET", "", "") + "X-Field: " + strings.Repeat("x", s.number(0)))
	case "line":
		return x.write("GET /" + strings.Repeat("x", s.number(0)))
	case "fields":
		return x.writeFields(s.number(0), s.number(1))
	case "lines":
		return x.write(strings.Repeat("\r\n", s.number(0)))
	case "trailer":
		return x.write("0\r\nX-Trailer: " + strings.Repeat("x", s.number(0)))
	case "read":
		return x.readAnswer()
	case "pause":
		time.Sleep(time.Duration(s.number(0)) * time.Millisecond)
		return nil
	}
	return x.carryOutRequests(s)
}

// carryOutRequests carries out the steps that make several requests.
func (x *connection) carryOutRequests(s step) error {
	for i := range s.number(0) {
		var text string
		switch s.verb {
		case "methods":
			text = x.head(fmt.Sprintf("M%dX%d", x.client, i), "", "") + "\r\n"
		case "paths":
			text = x.head("GET", "", strings.Repeat("y", s.number(1))) + "\r\n"
		case "services":
			text = fmt.Sprintf("GET %sS%dX%d/ HTTP/1.1\r\n%s%s: x\r\n\r\n", edge.ServicePathPrefix, x.client, i, x.target.headers, edge.OnceHeader)
		case "pipeline":
			text = x.head("GET", "", "") + "\r\n"
		case "jobs":
			body := standin.JobBody(s.number(1), "x")
			text = x.head("POST", strconv.Itoa(len(body)), "") + "\r\n" + string(body)
		default:
			return fmt.Errorf("%w: %s", errStep, s.verb)
		}
		if err := x.write(text); err != nil {
			return err
		}
		if s.verb == "pipeline" {
			continue
		}
		if err := x.readAnswer(); err != nil {
			return err
		}
	}
	return nil
}

// head returns a request's head without its last line.
func (x *connection) head(method, length, suffix string) string {
	text := method + " " + x.target.path(x.client, x.n) + suffix + " HTTP/1.1\r\n" + x.target.headers
	x.n++
	switch length {
	case "":
		return text
	case "chunked":
		return text + "Transfer-Encoding: chunked\r\n"
	}
	return text + "Content-Length: " + length + "\r\n"
}

func (x *connection) writePaddedHead(method, length string, size int) error {
	text := x.head(method, length, "")
	const name = "X-Field: "
	return x.write(text + name + strings.Repeat("x", size-len(text)-len(name)-4) + "\r\n\r\n")
}

// post writes a request with a complete body.
func (x *connection) post(body string) error {
	return x.write(x.head("POST", strconv.Itoa(len(body)), "") + "\r\n" + body)
}

func (x *connection) write(text string) error {
	_, err := io.WriteString(x.Conn, text)
	return err
}

// writePieces writes data in pieces of so many bytes, with a pause of so many
// milliseconds after each, or at once if piece is 0.
func (x *connection) writePieces(data []byte, piece, pause int) error {
	for piece > 0 && len(data) > piece {
		if _, err := x.Write(data[:piece]); err != nil {
			return err
		}
		data = data[piece:]
		time.Sleep(time.Duration(pause) * time.Millisecond)
	}
	_, err := x.Write(data)
	return err
}

func (x *connection) writeChunks(size, total, extension int) error {
	var b bytes.Buffer
	ext := ""
	if extension > 0 {
		ext = ";" + strings.Repeat("e", extension)
	}
	for ; total > 0; total -= size {
		size = min(size, total)
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", size, ext, strings.Repeat("x", size))
	}
	_, err := x.Write(b.Bytes())
	return err
}

func (x *connection) writeChunkedJob(data []byte, size int) error {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	b.WriteString("0\r\n\r\n")
	_, err := x.Write(b.Bytes())
	return err
}

// writeFields writes a head with n fields of size bytes, without its end.
func (x *connection) writeFields(n, size int) error {
	var b strings.Builder
	b.WriteString(x.head("GET", "", ""))
	for i := range n {
		fmt.Fprintf(&b, "%x:%s\r\n", i, strings.Repeat("x", size))
	}
	return x.write(b.String())
}

func (x *connection) readAnswer() error {
	status, err := readAnswer(x.in)
	if err == nil {
		x.note(status)
	}
	return err
}

// jobOf returns a valid job of exactly size bytes: as many small steps as fit, and a
// payload that fills the rest.
func jobOf(size int) []byte {
	const stepText = `{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":900}`
	frame := len(`{"TaskSpec":"","Steps":[]}`)
	n := (size - frame) / (len(stepText) + 1)
	steps := strings.Repeat(stepText+",", n-1) + stepText
	return []byte(`{"TaskSpec":"` + strings.Repeat("x", size-frame-len(steps)) + `","Steps":[` + steps + `]}`)
}
