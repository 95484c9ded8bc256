package httpcheck_test

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

	"github.com/quetzallug/quetzallug/internal/httpcheck"
)

// serve starts a server that runs handle for each connection until the test ends.
func serve(t *testing.T, handle func(c *net.TCPConn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

func newClient(t *testing.T) *http.Client {
	c := &http.Client{Transport: &httpcheck.Transport{Base: &http.Transport{DisableCompression: true}}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// post returns the body of the answer to a POST request.
func post(c *http.Client, url, body string) (string, error) {
	resp, err := c.Post(url, "text/plain", io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a part of an answer without a length that looks whole because its connection was reset while the request
// was being written.
func TestResetsDuringUploadsCutAnswers(t *testing.T) {
	url := serve(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, 32<<10)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	c := newClient(t)
	upload := strings.Repeat("u", 8<<20)
	for range 20 {
		_, err := post(c, url, upload)
		require.Error(t, err)
	}
}

// Guards against a check that refuses whole answers.
func TestAnswersAfterUploads(t *testing.T) {
	for name, answer := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\ntext", "length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nName: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c *net.TCPConn) {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, answer)
				}
			})
			for _, size := range []int{0, 1, 100 << 10, 8 << 20} {
				text, err := post(newClient(t), url, strings.Repeat("u", size))
				require.NoError(t, err)
				require.Equal(t, "text", text)
			}
		})
	}
}

// Guards against answers that net/http accepts although their head or trailer is none of HTTP/1.1.
func TestOddAnswersAreRefused(t *testing.T) {
	for name, answer := range map[string]string{
		"status 000":                     "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\ntext",
		"status 099":                     "HTTP/1.1 099 Trouble\r\nContent-Length: 4\r\n\r\ntext",
		"status 600":                     "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n\r\ntext",
		"another protocol":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\ntext",
		"version 2":                      "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ntext",
		"name with a blank":              "HTTP/1.1 200 OK\r\nBad name: x\r\nContent-Length: 4\r\n\r\ntext",
		"length after a blank":           "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\ntext",
		"chunks after a blank":           "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\ntext\r\n0\r\n\r\n",
		"name with a control byte":       "HTTP/1.1 200 OK\r\nNa\x01me: x\r\nContent-Length: 4\r\n\r\ntext",
		"name in a trailer with a blank": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nBad name: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(c *net.TCPConn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = fmt.Fprint(c, answer)
				}
			})
			_, err := post(newClient(t), url, "")
			require.Error(t, err)
		})
	}
}
