package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"snipewall/core"
)

// Guards against a confirmation that is taken for one of the version in force although the entry VM has a newer
// table, and against one that an entry VM without a table or with an older build doesn't give.
func TestAskConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		asking, asked := f.nodes[0], f.nodes[1]
		_, err := asked.table.Adopt([]byte("7"), "test")
		assert.NilError(t, err)
		got, err := asking.AskConfirmation(t.Context(), asked.Self(), time.Second, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, asking.table.Version(), core.Version(7))
		assert.DeepEqual(t, got, core.Confirmation{OK: true, Version: 7, Age: time.Second, Held: 2 * time.Second})

		answer, err := asked.Table(t.Context(), &TableRequest{})
		assert.NilError(t, err)
		assert.Assert(t, !answer.Confirmation.OK, "a request of an older build")
		without, err := New(Config{Self: testVM(2, 1), Transport: &fakeTransport{net: f.net}})
		assert.NilError(t, err)
		answer, err = without.Table(t.Context(), &TableRequest{Wait: time.Second})
		assert.NilError(t, err)
		assert.Assert(t, !answer.Confirmation.OK, "an entry VM without a table")
	})
}

// Guards against a table that can't be adopted and is transferred again with each confirmation.
func TestAskConfirmationAfterRejectedTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		asking, asked := f.nodes[0], f.nodes[1]
		asking.table.rejects.Store(true)
		_, err := asked.table.Adopt([]byte("7"), "test")
		assert.NilError(t, err)
		transfers := func() int64 { return asking.table.adoptions.Load() }
		for range 20 {
			time.Sleep(2 * time.Second)
			_, err := asking.AskConfirmation(t.Context(), asked.Self(), time.Second, 2*time.Second)
			assert.NilError(t, err)
		}
		assert.Equal(t, transfers(), int64(1))
		time.Sleep(rejectedRetryDelay)
		assert.Assert(t, transfers() > 1, "it is tried again later")
	})
}
