// Package peers maintains the membership of the entry VMs: which of them are believed to be alive, and
// which upstreams and VMs are leaving. It also distributes the operators' table. It is a gossip
// protocol of the SWIM family:
//
//   - Each entry VM pings one other member per interval, in a shuffled order. If the ping fails, it
//     asks two other members to ping that member. If that fails, too, the member becomes suspect, and
//     then dead after a time that grows with the logarithm of the number of members.
//   - Pings and their answers carry a few updates about members and leaving marks. Each update is sent
//     a number of times that grows with the logarithm of the number of members. The traffic per entry VM
//     therefore doesn't grow with the number of members.
//   - Each record of a member has an incarnation number, which only the member itself increments. A live
//     member that receives a record that it is suspect or dead increments it, which overrides that
//     record.
//   - At long intervals, an entry VM compares a digest of its state with that of one other member. If
//     they differ, the two exchange their full states.
//   - Dead members, and candidates from the settings and the platform's list, are pinged at a low rate,
//     so that failure domains join again after a network partition. The platform's list only adds
//     candidates and leaving marks. It never removes a member that answers.
//   - A record that a member is dead, from the other side of a network partition, doesn't remove a
//     member that is alive on this side. It is passed on until the member receives and refutes it.
//
// # Usage
//
//	cache := table.NewCache(table.CacheConfig{Store: s})
//	p, err := peers.New(peers.Config{Self: vm, Seeds: seeds, Transport: client, Platform: s, Table: cache})
//	if err != nil {
//		return err
//	}
//	cache.SetPeers(p)
//	server := ctrl.NewServer(ctrl.ServerConfig{Peers: p})
//
// Run calls Leave at its end. A planned shutdown can call it earlier.
package peers
