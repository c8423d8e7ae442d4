package scale

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// sockets counts what this process's connections to some addresses have carried, as the system tells of them
// (TCP_INFO). The clients that made them need not know. What a connection carried between the last look at it and its
// end is not seen.
//
// An answer of under 4 KiB comes in one piece (a data segment; those of loopback hold 64 KiB), and each answer is of
// one request, which may have left in two: head and body. So pieces that came are counted for both.
type sockets struct {
	peers map[netip.AddrPort]string
	last  map[netip.AddrPort]socket // by the connection's own end
	ended map[string]traffic        // of connections that are gone
}

type socket struct {
	peer    string
	carried traffic
}

func newSockets(peers []string) (*sockets, error) {
	s := &sockets{peers: map[netip.AddrPort]string{}, last: map[netip.AddrPort]socket{}, ended: map[string]traffic{}}
	for _, p := range peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, err
		}
		s.peers[addr] = p
	}
	return s, nil
}

// look gives the sums, by address.
func (s *sockets) look() (map[string]traffic, error) {
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
		if err != nil { // no connection
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
		sent := max(info.Bytes_acked, 1) - 1 // the first is of the connection's begin
		now[addrOf(near)] = socket{peer, traffic{In: sent, Out: info.Bytes_received,
			MessagesIn: uint64(info.Data_segs_in), MessagesOut: uint64(info.Data_segs_in), Open: 1}}
	}
	for at, was := range s.last {
		if is, there := now[at]; !there || is.carried.In < was.carried.In { // its end may be another connection's by now
			was.carried.Open = 0
			s.ended[was.peer] = s.ended[was.peer].plus(was.carried)
		}
	}
	s.last = now
	sums := map[string]traffic{}
	for _, name := range s.peers {
		sums[name] = s.ended[name]
	}
	for _, is := range now {
		sums[is.peer] = sums[is.peer].plus(is.carried)
	}
	return sums, nil
}

func addrOf(a unix.Sockaddr) netip.AddrPort {
	switch a := a.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}
