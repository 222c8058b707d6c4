package port

import (
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	hertzpoll "github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// RoundTrip returns the round-trip time of a TCP connection as estimated by the kernel. ok is false if it is not
// available.
func RoundTrip(conn network.Conn) (rtt time.Duration, ok bool) {
	wrapper, ok := conn.(*hertzpoll.Conn)
	if !ok {
		return 0, false
	}
	raw, ok := wrapper.Conn.(netpoll.Conn)
	if !ok {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(raw.Fd(), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return time.Duration(info.Rtt) * time.Microsecond, true
}
