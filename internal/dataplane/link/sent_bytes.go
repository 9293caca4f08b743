package link

import (
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

var sentBytes atomic.Uint64

// SentBytes returns the number of bytes that the connections of this process were given to
// send.
func SentBytes() uint64 { return sentBytes.Load() }

// send writes to a connection and counts the bytes.
func send(c interface{ Write([]byte) (int, error) }, b []byte) (int, error) {
	sentBytes.Add(uint64(len(b)))
	return c.Write(b)
}

// RemoteHost returns the IP address of the client, or an empty string if it is no longer
// known.
func (l *ClientConn) RemoteHost() string {
	if l.host == "" && l.conn != nil {
		switch a, _ := unix.Getpeername(l.conn.Fd()); a := a.(type) {
		case *unix.SockaddrInet4:
			l.host = netip.AddrFrom4(a.Addr).String()
		case *unix.SockaddrInet6:
			l.host = netip.AddrFrom16(a.Addr).Unmap().String()
		}
	}
	return l.host
}
