package link_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebelldoor/standin/link"
)

// TestEnds guards against a link that passes a reset on as a close in order, or the reverse, while
// bytes flow the other way.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end     func(c *net.TCPConn)
		inOrder bool
	}{
		"reset":    {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"in order": {func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(50 * time.Millisecond) }, true},
	} {
		for _, upload := range []int{0, 3 << 20} {
			t.Run(fmt.Sprintf("%s, %d bytes sent", name, upload), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				defer func() { _ = listener.Close() }()
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = io.WriteString(conn, "part")
						_, _ = conn.Read(make([]byte, 1))
						c.end(conn.(*net.TCPConn))
						_ = conn.Close()
					}
				}()
				l, stop, err := link.New(listener.Addr().String())
				assert.NilError(t, err)
				defer stop()
				for range 20 {
					conn, err := net.Dial("tcp", l.Address())
					assert.NilError(t, err)
					sent := make(chan struct{})
					_, err = conn.Write([]byte("x"))
					assert.NilError(t, err)
					got := make(chan error, 1)
					go func() {
						_, err := io.Copy(io.Discard, conn)
						got <- err
					}()
					var writeErr error
					go func() {
						_, writeErr = conn.Write(make([]byte, upload))
						close(sent)
					}()
					readErr := <-got
					_ = conn.SetWriteDeadline(time.Now())
					<-sent
					broken := readErr != nil || isReset(writeErr)
					assert.Equal(t, !broken, c.inOrder, "read %v, write %v", readErr, writeErr)
					_ = conn.Close()
				}
			})
		}
	}
}

// isReset reports whether a write met a reset of its connection.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
