package quota

import (
	"time"

	"snipewall/core"
)

// Share is a part of an organisation's limit, in millionths.
type Share uint32

// part returns the given part of the share.
func (s Share) part(of Share) Share { return Share(uint64(s) * uint64(of) / uint64(whole)) }

// whole is the share of a VM that may use all of a limit.
const whole Share = 1_000_000

func (s Share) of(x float64) float64 { return float64(s) / float64(whole) * x }

// shareOf returns the share that part is of total, at most limit.
func shareOf(part, total float64, limit Share) Share {
	if part <= 0 || total <= 0 {
		return 0
	}
	return Share(min(part/total, limit.of(1)) * float64(whole))
}

// Milli is a number of operations, or of operations a second, in thousandths.
type Milli uint32

// maxMilli keeps sums of a few Milli within their type.
const maxMilli = 1 << 30

func milliOf(x float64) Milli { return Milli(max(0, min(x*1000, maxMilli))) }

func (m Milli) float() float64 { return float64(m) / 1000 }

// Right is what a VM holds of an organisation's limit: a share of the rate, and one of the operations that buckets may
// hold together (Bound.pool).
type Right struct{ Rate, Burst Share }

// join returns the larger one of each share of two rights.
func (r Right) join(o Right) Right { return Right{max(r.Rate, o.Rate), max(r.Burst, o.Burst)} }

// least returns the smaller one of each share of two rights.
func (r Right) least(o Right) Right { return Right{min(r.Rate, o.Rate), min(r.Burst, o.Burst)} }

// Limit is an organisation's limit: operations a second, and operations beyond that.
type Limit struct{ Rate, Burst float64 }

// Term is the time in which one VM is the keeper. Each acquisition of the lease begins another one.
type Term struct {
	Keeper core.VMID
	// Address is the control address of the keeper.
	Address string
	// Began is the wall-clock time of the acquisition in nanoseconds, which distinguishes the terms of a VM.
	Began int64
}

// AskRequest reports what a VM holds and uses, and asks the keeper of the term for rights.
type AskRequest struct {
	VM core.VMID
	// Incarnation distinguishes the processes of a VM; later ones have higher values.
	Incarnation int64
	// Seq increases with each request and report. The VM uses no answer to an earlier one.
	Seq  uint64
	Term Term
	// Left is set if the VM has left the term for another one and can't return. The keeper then has to begin
	// another term.
	Left bool
	// Enlisted is set once listings of the store have this VM, so that the next keeper asks it for its rights.
	Enlisted bool
	// Partial is set if Items lacks organisations whose rights haven't changed. Otherwise the VM holds nothing of
	// the organisations that aren't in Items.
	Partial bool
	Items   []AskItem
}

// AskItem is what a VM holds of one organisation's limit, and what it needs.
type AskItem struct {
	Organisation core.OrganisationID
	Held         Right
	// Demand is the rate of the callers' operations on the VM, Recent that of the last seconds.
	Demand, Recent Milli
	// Want is the number of operations that wait, Room how many more the bucket can hold.
	Want, Room Milli
}

// AskAnswer holds the VM's rights from now on, of all organisations in the request.
type AskAnswer struct {
	// OK is set if the request was accepted. Otherwise Keeper is the current term as far as the VM knows it.
	OK     bool
	Keeper Term
	// Incarnation is set if the keeper has heard from a later incarnation.
	Incarnation int64
	// NeedsAll is set if the keeper needs a request with all organisations first.
	NeedsAll bool
	// Keep is set if the VM keeps what it holds, without a longer life: another VM may believe to be the keeper, and
	// doesn't know of a renewal.
	Keep bool
	// Settling is set until the keeper knows what all VMs hold.
	Settling bool
	Items    []AnswerItem
}

// AnswerItem is the right to a part of one organisation's limit.
type AnswerItem struct {
	Organisation core.OrganisationID
	Right        Right
	// Tokens are operations of the keeper's reserve. They may be used for a short time only.
	Tokens Milli
	// Over is the organisation's demand in thousandths of its rate if that is above its limit, otherwise 0.
	Over Milli
}

// ReportRequest asks a VM for its rights, on behalf of the keeper of the term. The VM follows that keeper afterwards.
type ReportRequest struct{ Term Term }

// ReportAnswer holds all rights of a VM. OK is not set if the VM has left the term for another one.
type ReportAnswer struct {
	OK     bool
	Report AskRequest
}

const (
	// rightsLife is how long rights last after the request that was answered with them.
	rightsLife = 8 * time.Second
	// clockMargin is added where the lifetimes of another VM's rights are waited out, for the drift of clocks.
	clockMargin = 100 * time.Millisecond
)
