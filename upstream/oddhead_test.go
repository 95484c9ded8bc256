package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// serveTexts starts a server that answers the first request of a connection with first, if it is not empty, and others
// with text, and keeps its connections open.
func serveTexts(t *testing.T, first, text string) string {
	return startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		next := first
		if next == "" {
			next = text
		}
		for _, ok := readRequest(br); ok; _, ok = readRequest(br) {
			_, _ = io.WriteString(c, next)
			next = text
		}
	})
}

func doAny(p *upstream.Pool, addr string) (*upstream.Response, error) {
	return p.Do(context.Background(), addr, &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b")},
		func(*http.Response, bool) bool { return true })
}

// Guards against answers with a status or header that is none in HTTP/1.1, whose lines are passed on, or whose bodies are
// not those of the backend server because the field that frames them is not recognised.
func TestOddHeadsAreNoAnswers(t *testing.T) {
	const body = "\r\n1\r\nx\r\n0\r\n\r\n"
	for name, head := range map[string]string{
		"status 000":                        "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n",
		"status 001":                        "HTTP/1.1 001 Trouble\r\n",
		"status 099":                        "HTTP/1.1 099 Trouble\r\n",
		"status with a sign":                "HTTP/1.1 +99 Trouble\r\n",
		"status 600":                        "HTTP/1.1 600 Trouble\r\nContent-Length: 0\r\n",
		"status 999":                        "HTTP/1.1 999 Trouble\r\nContent-Length: 0\r\n",
		"another protocol":                  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
		"version 2":                         "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n",
		"version 0.9":                       "HTTP/0.9 200 OK\r\n",
		"name with a blank":                 "HTTP/1.1 200 OK\r\nBad name: x\r\nContent-Length: 0\r\n",
		"name with a blank at its end":      "HTTP/1.1 200 OK\r\nName : x\r\nContent-Length: 0\r\n",
		"name with a blank at its start":    "HTTP/1.1 200 OK\r\nName: x\r\n Content-Length: 0\r\n",
		"name with a tab at its start":      "HTTP/1.1 200 OK\r\nName: x\r\n\tContent-Length: 0\r\n",
		"first name with a blank":           "HTTP/1.1 200 OK\r\n Name: x\r\nContent-Length: 0\r\n",
		"length after a blank":              "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n",
		"chunks after a blank":              "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
		"chunks of an older version":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"chunks of an older version, lower": "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n",
		"name with a control byte":          "HTTP/1.1 200 OK\r\nNa\x01me: x\r\nContent-Length: 0\r\n",
		"name with a zero byte":             "HTTP/1.1 200 OK\r\nContent-Length\x00: 0\r\n",
		"name with a tab":                   "HTTP/1.1 200 OK\r\nNa\tme: x\r\nContent-Length: 0\r\n",
		"name with a delete byte":           "HTTP/1.1 200 OK\r\nName\x7f: x\r\nContent-Length: 0\r\n",
		"name of no bytes":                  "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 0\r\n",
		"no colon":                          "HTTP/1.1 200 OK\r\nName\r\nContent-Length: 0\r\n",
		"value with a control byte":         "HTTP/1.1 200 OK\r\nName: x\x01y\r\nContent-Length: 0\r\n",
		"value with a carriage return":      "HTTP/1.1 200 OK\r\nName: x\rContent-Length: 0\r\n",
		"informational before":              "HTTP/1.1 103 Early Hints\r\nBad name: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
		"informational, then odd":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nBad name: x\r\n",
	} {
		for kept, first := range map[string]string{"new connection": "", "kept connection": response("first", "first")} {
			t.Run(name+"/"+kept, func(t *testing.T) {
				addr := serveTexts(t, first, head+body)
				p := upstream.NewPool()
				defer p.Close()
				if first != "" {
					text, err := post(p, addr, "first", "")
					require.NoError(t, err)
					require.Equal(t, "first", text)
				}
				resp, err := doAny(p, addr)
				if err == nil {
					resp.Close(p)
				}
				require.ErrorIs(t, err, upstream.ErrExchangeFailed, "the request may have run")
				require.Zero(t, p.Connections(addr), "what follows on the connection is not known")
			})
		}
	}
}

// Guards against a trailer that http.Response accepts although the name of a field is none.
func TestOddTrailersAreNoEnds(t *testing.T) {
	for _, line := range []string{"Bad name: x", "Name : x", "Na\x01me: x"} {
		addr := serveTexts(t, "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+line+"\r\n\r\n")
		p := upstream.NewPool()
		resp, err := doAny(p, addr)
		require.NoError(t, err)
		_, err = io.ReadAll(resp)
		require.Error(t, err, line)
		resp.Close(p)
		require.Zero(t, p.Connections(addr))
		p.Close()
	}
}

// Guards against a check of heads that refuses sound backend servers.
func TestSoundHeadsAreAnswers(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":             "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\nx",
		"older version":         "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"bare line feeds":       "HTTP/1.1 200 OK\nContent-Length: 1\n\nx",
		"names in lower case":   "HTTP/1.1 200 OK\r\ncontent-length: 1\r\nx_y!#$%&'*+-.^`|~0: z\r\n\r\nx",
		"blanks around a value": "HTTP/1.1 200 OK\r\nContent-Length:\t 1 \t\r\n\r\nx",
		"empty value":           "HTTP/1.1 200 OK\r\nName:\r\nContent-Length: 1\r\n\r\nx",
		"value with a colon":    "HTTP/1.1 200 OK\r\nName: a : b\r\nContent-Length: 1\r\n\r\nx",
		"value of other bytes":  "HTTP/1.1 200 OK\r\nName: \xc3\xa9\xff\r\nContent-Length: 1\r\n\r\nx",
		"chunks and a trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nName: y\r\n\r\n",
		"status 599":            "HTTP/1.1 599 Failed\r\nContent-Length: 1\r\n\r\nx",
		"informational before":  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"longer than a buffer":  "HTTP/1.1 200 OK\r\nName: " + strings.Repeat("v", 9000) + "\r\nContent-Length: 1\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveTexts(t, "", head)
			p := upstream.NewPool()
			defer p.Close()
			for range 2 {
				resp, err := doAny(p, addr)
				require.NoError(t, err)
				body, err := io.ReadAll(resp)
				require.NoError(t, err)
				require.Equal(t, "x", string(body))
				resp.Close(p)
			}
		})
	}
}

// Guards against a body that is taken for part of the head before it, as with one that looks like a line of a header.
func TestBodiesAreNoPartOfTheHead(t *testing.T) {
	addr := serveTexts(t, "", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nBad name\x01 ")
	p := upstream.NewPool()
	defer p.Close()
	resp, err := doAny(p, addr)
	require.NoError(t, err)
	defer resp.Close(p)
	body, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, "Bad name\x01 ", string(body))
}
