package port

import (
	"github.com/cloudwego/hertz/pkg/network"
	hertzpoll "github.com/cloudwego/hertz/pkg/network/netpoll"
	"github.com/cloudwego/netpoll"
)

// OnClose registers a callback for the end of a connection, whichever side closes it. ok is false if the connection
// does not support such callbacks. The context of a connection is no substitute: hertz cancels it only when the other
// side closes the connection.
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
