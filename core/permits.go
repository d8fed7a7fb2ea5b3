package core

// Permits tells whether the primary of a group may be used. A promotion doesn't stop the old primary on
// every platform: it can go on to accept statements, so that its own answers don't prove that no other
// upstream leads. Implementations are safe for concurrent use.
type Permits interface {
	// Admits reports whether new work that needs the primary may start. The epoch identifies the leader that is
	// recorded then.
	Admits(group GroupID) (epoch Version, ok bool)
	// Covers reports whether no other upstream of the group can have begun to lead since the work that started in
	// the epoch. What its primary answered before this call is valid then.
	Covers(group GroupID, epoch Version) bool
	// Leader returns the upstream that was promoted last, or false if no promotion is known.
	Leader(group GroupID) (UpstreamID, bool)
	// IsDeposed reports whether the upstream can't be the primary although it may act as one, since another one was promoted after it.
	IsDeposed(group GroupID, upstream UpstreamID) bool
	// Hold returns the promotion in progress, or false if there is none.
	Hold(group GroupID) (Hold, bool)
}

// Hold is a promotion in progress, during which the old primary must not be used.
type Hold struct {
	// Old is the primary that is being replaced, and Holder the VM that replaces it.
	Old    UpstreamID
	Holder VMID
	// Since is when this VM heard of it.
	Since Instant
}
