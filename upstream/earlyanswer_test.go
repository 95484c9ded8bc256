package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// uploadSize is larger than what the operating system holds for a connection, so that an upload is still being
	// written while its server doesn't read.
	uploadSize = 8 << 20
	readOfHead = 32 << 10
)

// Guards against an answer without a length that is taken for whole although its connection was reset during the upload:
// the goroutine that writes gets the error then, and the one that reads an ordinary end.
func TestResetsDuringUploadsCutAnswers(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		for name, part := range map[string]string{"nothing": "", "part": strings.Repeat("p", 200), "event": "id: 1\ndata: x\n\n"} {
			t.Run(fmt.Sprintf("%d %s", status, name), func(t *testing.T) {
				addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
					_, _ = io.CopyN(io.Discard, br, readOfHead)
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nId: cut\r\n\r\n%s", status, part)
					time.Sleep(60 * time.Millisecond) // the part is read before the reset
					_ = c.SetLinger(0)
				})
				p := upstream.NewPool()
				defer p.Close()
				for range 4 {
					_, err := post(p, addr, "cut", strings.Repeat("u", uploadSize))
					require.Error(t, err)
				}
			})
		}
	}
}

// Guards against an early answer without a length being taken for whole while its server has neither read the upload nor
// reset the connection, and against one with an end of its own being refused.
func TestEarlyAnswersDuringUploads(t *testing.T) {
	for head, whole := range map[string]bool{
		"Connection: close\r\n\r\n4\r\ntext":                               false,
		"Content-Length: 4\r\n\r\ntext":                                    true,
		"Transfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n":         true,
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\ntext": false,
	} {
		done := make(chan struct{})
		addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, br, readOfHead)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: early\r\n"+head)
			_ = c.CloseWrite()
			<-done
		})
		p := upstream.NewPool()
		text, err := post(p, addr, "early", strings.Repeat("u", uploadSize))
		if whole {
			require.NoError(t, err, head)
			require.Equal(t, "text", text)
		} else {
			require.Error(t, err, head)
		}
		p.Close()
		close(done)
	}
}

// Guards against whole answers without a length to uploads that were read being refused.
func TestAnswersWithoutALengthAfterUploads(t *testing.T) {
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		_, _ = readRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: whole\r\n\r\ntext")
	})
	p := upstream.NewPool()
	defer p.Close()
	for i := range 20 {
		text, err := post(p, addr, "whole", strings.Repeat("u", i*uploadSize/20))
		require.NoError(t, err)
		require.Equal(t, "text", text)
	}
}
