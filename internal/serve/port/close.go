package port

import (
	"github.com/cloudwego/hertz/pkg/network"
	hertzpoll "github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/netpoll"
)

// OnClose has done called when the connection ends, whichever side closes it; ok is false when that can't be told.
// The end of a connection's context doesn't do: hertz ends it only when the other side closes.
func OnClose(conn network.Conn, callback func()) (ok bool) {
	wrapper, ok := conn.(*hertzpoll.Conn)
	if !ok {
		return false
	}
	raw, ok := wrapper.Conn.(netpoll.Connection)
	if !ok {
		return false
	}
	return raw.AddCloseCallback(func(netpoll.Connection) error {
		callback()
		return nil
	}) == nil
}
