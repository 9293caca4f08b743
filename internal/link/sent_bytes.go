package link

import (
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

var sentBytes atomic.Uint64

// Sent is the bytes that the links of this process have been given to send.
func Sent() uint64 { return sentBytes.Load() }

// send writes to a connection and counts it.
func send(c interface{ Write([]byte) (int, error) }, b []byte) (int, error) {
	sentBytes.Add(uint64(len(b)))
	return c.Write(b)
}

// Host is the address that the client has, without its port; empty where it is gone.
func (l *Client) Host() string {
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
