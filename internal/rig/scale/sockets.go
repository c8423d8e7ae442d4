package scale

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// sockets counts what this process's connections to some addresses have carried, as the system reports it (TCP_INFO), without the
// help of the clients that made them. What a connection carried between the last poll and its end is not counted.
//
// A response of under 4 KiB arrives in one data segment (those of loopback hold 64 KiB), and each response belongs to one request,
// which may have left in two segments: head and body. So received segments count as responses and as requests.
type sockets struct {
	peers  map[netip.AddrPort]string
	last   map[netip.AddrPort]socket // by the connection's local address
	closed map[string]traffic        // of connections that have ended, by peer
}

// socket is one connection at the last poll.
type socket struct {
	peer    string
	traffic traffic
}

func newSockets(peers []string) (*sockets, error) {
	s := &sockets{peers: map[netip.AddrPort]string{}, last: map[netip.AddrPort]socket{}, closed: map[string]traffic{}}
	for _, p := range peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, err
		}
		s.peers[addr] = p
	}
	return s, nil
}

// poll reads all connections and returns the sums by peer address.
func (s *sockets) poll() (map[string]traffic, error) {
	files, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil, fmt.Errorf("descriptors: %w", err)
	}
	now := map[netip.AddrPort]socket{}
	for _, f := range files {
		fd, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		far, err := unix.Getpeername(fd)
		if err != nil { // not a connected socket
			continue
		}
		peer, ours := s.peers[addrOf(far)]
		if !ours {
			continue
		}
		near, err := unix.Getsockname(fd)
		if err != nil {
			continue
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue
		}
		sent := max(info.Bytes_acked, 1) - 1 // the SYN counts as one
		now[addrOf(near)] = socket{peer, traffic{In: sent, Out: info.Bytes_received,
			MessagesIn: uint64(info.Data_segs_in), MessagesOut: uint64(info.Data_segs_in), Open: 1}}
	}
	for at, was := range s.last {
		if is, there := now[at]; !there || is.traffic.In < was.traffic.In { // its local address may be that of a new connection
			was.traffic.Open = 0
			s.closed[was.peer] = s.closed[was.peer].plus(was.traffic)
		}
	}
	s.last = now
	sums := map[string]traffic{}
	for _, name := range s.peers {
		sums[name] = s.closed[name]
	}
	for _, is := range now {
		sums[is.peer] = sums[is.peer].plus(is.traffic)
	}
	return sums, nil
}

// addrOf is an address of the system as a netip.AddrPort; the zero value if it is no IP address.
func addrOf(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
