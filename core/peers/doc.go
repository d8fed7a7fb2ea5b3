// Package peers keeps the membership of the entry VMs: which of them are believed to be alive, which
// upstreams and VMs are leaving, and which version of the operators' table each has. It is a
// protocol of the SWIM family:
//
//   - Each entry VM pings one other member per interval, in a shuffled order. If the ping fails, it
//     asks two others to ping that member. If these fail too, the member becomes suspect, and dead
//     after a time that grows with the logarithm of the fleet.
//   - Pings and their answers carry a few updates of members and marks. Each update is sent a number
//     of times that grows with the logarithm of the fleet. Traffic per entry VM thus doesn't grow with
//     the fleet.
//   - Each record of a member has an incarnation number, which only the member itself raises. A live
//     member that hears that it is suspect or dead raises it, which overrules the older record.
//   - Seldom, an entry VM compares a digest of its state with one other member; if they differ, the
//     two exchange their full states.
//   - Dead members and candidates from the settings and the platform's list are tried again at a slow
//     rate, so that failure domains that were cut off join again. The platform's list only adds
//     candidates and leaving marks. It never removes a member that answers.
//   - A record that says that a member is dead, from the other side of a cut, doesn't remove a member
//     that is alive on this side. It is passed on until the member hears and refutes it.
//
// # Usage
//
//	keeper := table.NewKeeper(table.KeeperConfig{Store: s})
//	p, err := peers.New(peers.Config{Self: vm, Seeds: seeds, Transport: client, Platform: s, Table: keeper})
//	if err != nil {
//		return err
//	}
//	keeper.Join(p)
//	server := ctrl.NewServer(ctrl.ServerConfig{Peers: p})
//
// A planned stop calls Leave, which spreads at once that this entry VM is leaving.
package peers
