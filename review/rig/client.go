package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// client is a stand-in for a caller's session.
type client struct {
	name string
	conn net.Conn
	in   *bufio.Reader
	rec  *record
	// state and position are those of the last READY.
	state, position string
	// quiet leaves the rows out of the record.
	quiet bool
}

// reply is the answer to a query.
type reply struct {
	rows []string
	// code and text are those of an ERROR; code is empty if the query succeeded.
	code, text string
	signature  string
}

// readyTimeout limits the wait for READY after CONNECT, queryTimeout that for an answer.
const (
	readyTimeout = 2 * time.Second
	queryTimeout = 8 * time.Second
)

func connect(ctx context.Context, address, database, name string, rec *record) (*client, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &client{name: name, conn: conn, in: bufio.NewReader(conn), rec: rec}
	_ = conn.SetDeadline(time.Now().Add(readyTimeout))
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name); err != nil {
		_ = conn.Close()
		return nil, err
	}
	line, err := readLine(c.in)
	if err == nil && !strings.HasPrefix(line, "READY I") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.state = "I"
	return c, nil
}

// query sends a statement with a new id and returns the id and the answer.
func (c *client) query(text string) (string, reply, error) { return c.queryWith(text, func(string) {}) }

// queryWith is query, with a function that gets the id before the statement is sent.
func (c *client) queryWith(text string, before func(id string)) (string, reply, error) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	before(id)
	_ = c.conn.SetDeadline(time.Now().Add(queryTimeout))
	c.rec.note("%s sends %s %s", c.name, id, text)
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, reply{}, err
	}
	var r reply
	for {
		line, err := readLine(c.in)
		if err != nil {
			c.rec.note("%s gets no answer to %s: %v", c.name, id, err)
			return id, r, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.signature = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			c.state, c.position, _ = strings.Cut(rest, " ")
			if c.quiet {
				c.rec.note("%s gets for %s: %d rows, signature %s, error %s %s, state %s", c.name, id, len(r.rows), r.signature, r.code, r.text, c.state)
				return id, r, nil
			}
			c.rec.note("%s gets for %s: rows %q, signature %s, error %s %s, state %s", c.name, id, r.rows, r.signature, r.code, r.text, c.state)
			return id, r, nil
		default:
			return id, r, fmt.Errorf("unexpected message %q", line)
		}
	}
}

// queryQuietly is query without the rows in the record.
func (c *client) queryQuietly(text string) (string, reply, error) {
	c.quiet = true
	return c.query(text)
}

func (c *client) close() { _ = c.conn.Close() }
