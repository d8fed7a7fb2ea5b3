package e2e

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of the entry VM in these tests. The memory is that of the smallest VM that is planned for.
const (
	crowdMemory      = 184 << 20
	crowdDescriptors = 700
)

// crowd opens connections that send the bytes and stay open until the end of the test.
func (c *cluster) crowd(size int, sent []byte) {
	c.t.Helper()
	for range size {
		conn, err := net.DialTimeout("tcp", c.vms[0].callers, startTimeout)
		assert.NilError(c.t, err)
		c.t.Cleanup(func() { _ = conn.Close() })
		// A write that the VM doesn't take in time is given up: the VM may refuse or close the connection.
		assert.NilError(c.t, conn.SetWriteDeadline(time.Now().Add(2*time.Second)))
		_, _ = conn.Write(sent)
	}
}

// checkCrowd checks the bounds, and that an ordinary request is answered.
func (c *cluster) checkCrowd() {
	c.t.Helper()
	c.eventually(startTimeout, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
		defer cancel()
		_, err := c.connect(c.vms[0]).Exec(ctx, "select 1")
		return err
	})
	proc := fmt.Sprintf("/proc/%d/", c.procs[c.vms[0].id].cmd.Process.Pid)
	status, err := os.ReadFile(proc + "status")
	assert.NilError(c.t, err, "the process has ended")
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(c.t, err)
	open, err := os.ReadDir(proc + "fd")
	assert.NilError(c.t, err)
	c.t.Logf("peak memory %.1f MB, descriptors %d", float64(kilobytes)/(1<<10), len(open))
	assert.Check(c.t, kilobytes<<10 <= crowdMemory, "memory: %d kB", kilobytes)
	assert.Check(c.t, len(open) <= crowdDescriptors, "descriptors: %d", len(open))
}

// message returns the begin of a message whose length is stated as claimed.
func message(typ byte, claimed uint32, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, claimed), body...)
}

// startupMessage opens a session.
func startupMessage() []byte {
	body := append(binary.BigEndian.AppendUint32(nil, 3<<16), "user\x00berth\x00database\x00berth\x00\x00"...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)
}

// Guards against connections that stop in the middle of a start-up, of a TLS handshake or of a message whose stated length
// is 2^31-1, and against cancel requests, that take the memory or keep ordinary callers from being served.
func TestCrowdStopsHalfWay(t *testing.T) {
	t.Parallel()
	const size = 60
	c := newCluster(t, 1)
	request := func(code uint32, rest ...byte) []byte {
		return append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, uint32(8+len(rest))), code), rest...)
	}
	const sslRequest, cancelRequest, longest = 80877103, 80877102, 1<<31 - 1
	for _, sent := range [][]byte{
		nil, {0}, {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0}, request(sslRequest), append(request(sslRequest), 22, 3, 1, 2, 0, 1),
		request(cancelRequest, 0, 0, 0, 1, 0, 0, 0, 2), startupMessage()[:9],
		append(startupMessage(), message('Q', longest, "select")...), append(startupMessage(), message('d', longest, "x")...),
		append(startupMessage(), message('B', longest, "x")...), append(startupMessage(), message('P', longest, strings.Repeat("x", 1<<16))...),
	} {
		c.crowd(size, sent)
		c.checkCrowd()
	}
}

// Guards against messages within the limit of 16 MiB, many at once, that stop half-way and exhaust the memory.
func TestCrowdOfLargeMessages(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	const size = 60
	c.crowd(size, append(startupMessage(), message('Q', 16<<20, strings.Repeat("x", 8<<20))...))
	c.checkCrowd()
}
