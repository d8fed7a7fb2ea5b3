package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// answerTimeout is how long a caller waits for an answer: the deadline of its requests.
const answerTimeout = 8 * time.Second

// caller is a client's session.
type caller struct {
	nc net.Conn
	in *bufio.Reader
}

// result is the answer to a statement.
type result struct {
	id string
	// rows and completes are the messages before READY; code is the error's, or empty.
	rows, completes []string
	code, text      string
	state           string
	// err is set if the connection ended without a whole answer.
	err error
}

func (res result) String() string {
	switch {
	case res.err != nil:
		return "no whole answer: " + res.err.Error()
	case res.code != "":
		return "ERROR " + res.code + " " + res.text + ", READY " + res.state
	}
	bytes := 0
	for _, row := range res.rows {
		bytes += len(row)
	}
	return fmt.Sprintf("%d rows of %d bytes, COMPLETE %s, READY %s", len(res.rows), bytes, strings.Join(res.completes, ", COMPLETE "), res.state)
}

// isSuccess reports whether the statement succeeded.
func (res result) isSuccess() bool { return res.err == nil && res.code == "" }

// openSession opens a session on the database.
func openSession(address, database string) (*caller, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second) //nolint:noctx // the dial has a time limit
	if err != nil {
		return nil, err
	}
	cl := &caller{nc: nc, in: bufio.NewReaderSize(nc, 1<<16)}
	_ = nc.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(nc, "CONNECT %s u3f1\r\n", database); err != nil {
		cl.close()
		return nil, err
	}
	if line := readLine(cl.in); !strings.HasPrefix(line, "READY I") {
		cl.close()
		return nil, fmt.Errorf("answer to CONNECT: %q", line)
	}
	return cl, nil
}

func (cl *caller) close() { _ = cl.nc.Close() }

// newID returns the id of a new statement.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// query sends a statement and reads its answer.
func (cl *caller) query(id, text string) result {
	res := result{id: id}
	_ = cl.nc.SetDeadline(time.Now().Add(answerTimeout))
	if _, res.err = fmt.Fprintf(cl.nc, "QUERY %s %s\r\n", id, text); res.err != nil {
		return res
	}
	for {
		line, err := cl.in.ReadString('\n')
		if err != nil {
			res.err = err
			return res
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "ROW":
			res.rows = append(res.rows, rest)
		case "COMPLETE":
			res.completes = append(res.completes, rest)
		case "ERROR":
			res.code, res.text, _ = strings.Cut(rest, " ")
		case "READY":
			res.state, _, _ = strings.Cut(rest, " ")
			return res
		default:
			res.err = fmt.Errorf("unknown message %q", line)
			return res
		}
	}
}

// checkSigned records a broken rule if a success isn't a backend's signed answer to the statement.
func (g *group) checkSigned(who, text string, res result) {
	if !res.isSuccess() {
		return
	}
	if len(res.completes) == 1 && g.signer(res.completes[0]) == res.id {
		return
	}
	g.r.breakf("MIXED", "%s got for %s %q: %s", who, res.id, text, res)
}
