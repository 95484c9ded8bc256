package clients

import (
	"bufio"
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
)

var everyPath = flag.Bool("every-path", false, "play each answer without end on each kind of route, not only on one")

const (
	// endlessRequests is the number of requests that are answered without end at the same time.
	endlessRequests = 250
	// endlessLength is the most that a faulty server sends on one connection. It is a multiple of what the gateway has.
	endlessLength = 256 << 20
	// endlessWait is how long the clients of faulty servers wait for an answer.
	endlessWait = 3 * time.Second
	// storeFaultTime is how long the store sends without end. The watch that is open at first ends after 1.7 s.
	storeFaultTime = 3 * time.Second
)

// endless is what a faulty server sends in answer to a request: a beginning, and then the same bytes again and again. With
// slow, it pauses between them, so that all its answers are in progress at the same time.
type endless struct {
	name, begin, again string
	slow               bool
}

// signedHead begins the answers of a faulty server. "ID" stands for the request's ID.
const signedHead = "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: ID\r\nQuetzallug-Response-Signature: x.ID\r\n"

var (
	kib       = strings.Repeat("x", 1<<10)
	oneKChunk = "400\r\n" + kib + "\r\n"
	tinyLines = strings.Repeat("a:\n", 300)
	// manyFields are different, as each name takes memory of its own.
	manyFields = shortFields(28 << 10)
)

var endlessAnswers = []endless{
	{name: "status line", begin: "HTTP/1.1 200 ", again: kib},
	{name: "no protocol", again: kib},
	{name: "empty lines", again: strings.Repeat("\r\n", 512)},
	{name: "line of a header", begin: signedHead + "Name: ", again: kib},
	{name: "line of a header, slow", begin: signedHead + "Name: " + strings.Repeat(kib, 24), again: "x", slow: true},
	{name: "lines of a header", begin: signedHead, again: "Name: x\r\n"},
	{name: "short lines of a header", begin: signedHead, again: tinyLines},
	{name: "short lines of a header, slow", begin: signedHead + manyFields, again: "a:\n", slow: true},
	{name: "short lines of a whole header, slow body", begin: signedHead + manyFields + "\r\n", again: "x", slow: true},
	{name: "informational answers", again: "HTTP/1.1 103 Early Hints\r\nName: x\r\n\r\n"},
	{name: "informational answers with short lines", again: "HTTP/1.1 103 Early Hints\r\n" + tinyLines + "\r\n"},
	{name: "answers to another request", again: "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: another\r\nContent-Length: 1024\r\n\r\n" + kib},
	{name: "body of an answer to another request", begin: "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: another\r\n\r\n", again: kib},
	{name: "body without a length", begin: signedHead + "\r\n", again: kib},
	{name: "body without a length, slow", begin: signedHead + "\r\n" + strings.Repeat(kib, 128), again: kib, slow: true},
	{name: "body with a large length", begin: signedHead + "Content-Length: 9000000000000000000\r\n\r\n", again: kib},
	{name: "body in chunks", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n", again: oneKChunk},
	{name: "body in short chunks", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n", again: strings.Repeat("1\r\nx\r\n", 200)},
	{name: "size of a chunk", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n", again: strings.Repeat("0", 1024)},
	{name: "extension of a chunk", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", again: kib},
	{name: "trailer", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", again: "Name: x\r\n"},
	{name: "short lines of a trailer", begin: signedHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", again: tinyLines},
	{name: "body of an error", begin: strings.Replace(signedHead, "200 OK", "500 Failed", 1) + "\r\n", again: kib},
	{name: "body of a status of callers", begin: strings.Replace(signedHead, "200 OK", "404 Not Found", 1) + "\r\n", again: kib},
	{name: "body of a refusal", begin: "HTTP/1.1 503 Busy\r\nQuetzallug-Attempt-Id: ID\r\nQuetzallug-Not-Executed: 1\r\n\r\n", again: kib},
	{name: "event", begin: signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", again: kib},
	{name: "event, slow", begin: signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: " + strings.Repeat(kib, 60), again: "x", slow: true},
	{name: "lines of an event", begin: signedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\n", again: "data: x\n"},
	{name: "comments of a stream", begin: signedHead + "Content-Type: text/event-stream\r\n\r\n", again: ": x\n\n"},
	{name: "empty lines of a stream", begin: signedHead + "Content-Type: text/event-stream\r\n\r\n", again: "\n\n\n\n"},
	{name: "bytes after an answer", begin: signedHead + "Content-Length: 1\r\n\r\nx", again: kib},
}

// serveEndless serves connections on which each request is answered without end until the test ends or the peer closes.
func serveEndless(t *testing.T, answer func(r *http.Request) endless) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var conns sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		conns.Wait()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer c.Close()
				defer context.AfterFunc(ctx, func() { _ = c.Close() })()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				writeEndless(ctx, c, answer(r), r.Header.Get("Quetzallug-Attempt-Id"))
			})
		}
	}()
	return l.Addr().String()
}

func writeEndless(ctx context.Context, c net.Conn, e endless, id string) {
	if _, err := io.WriteString(c, strings.ReplaceAll(e.begin, "ID", id)); err != nil || e.again == "" {
		return
	}
	block := strings.Repeat(e.again, 1+(16<<10)/len(e.again))
	if e.slow {
		block = e.again
	}
	for sent := 0; sent < endlessLength; sent += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
		if e.slow {
			select {
			case <-ctx.Done():
				return
			case <-time.After(slowInterval):
			}
		}
	}
}

// endlessPlatform is a platform with a service of faulty servers beside the sound one.
func endlessPlatform(t *testing.T, e endless) *platform {
	p := newPlatform(t, true)
	address := serveEndless(t, func(*http.Request) endless { return e })
	for i := range 2 {
		p.store.Put(fmt.Sprintf("servers/i-faulty-%d", i), map[string]any{
			"service": "faulty", "address": address, "zone": "z", "version": "v1", "slots": 1000, "state": "ready", "cold-remaining-ms": 0,
			"seq": 1, "born": time.Now().UnixMilli(),
		})
	}
	return p
}

// TestAnswersWithoutEnd guards against servers that send bytes without end, in a head or a body, until the gateway closes:
// the process lives and stays within its memory, and an ordinary request to another service is answered.
func TestAnswersWithoutEnd(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	paths := []string{"/faultyread/x", "/faultyonce/x", "/faultystream/x"}
	for i, e := range endlessAnswers {
		played := paths[i%len(paths)]
		for _, path := range paths {
			if path != played && !*everyPath {
				continue
			}
			t.Run(e.name+path[:len(path)-2], func(t *testing.T) {
				p := endlessPlatform(t, e)
				g := startGateway(t, filepath.Join(bin, "quetzallugd"), logDir(t), p.address)
				defer g.Kill()
				var clients sync.WaitGroup
				for n := range endlessRequests {
					clients.Go(func() { endlessRequest(g.callers, path, n) })
				}
				clients.Wait()
				g.check(t)
			})
		}
	}
}

var endlessStoreAnswers = []endless{
	{name: "status line", begin: "HTTP/1.1 200 ", again: kib},
	{name: "lines of a header", begin: "HTTP/1.1 200 OK\r\n", again: "Name: x\r\n"},
	{name: "short lines of a header, slow", begin: "HTTP/1.1 200 OK\r\n" + manyFields, again: "a:\n", slow: true},
	{name: "informational answers", again: "HTTP/1.1 103 Early Hints\r\nName: x\r\n\r\n"},
	{name: "text", begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"items":[{"key":"`, again: kib},
	{name: "text, slow", begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"items":[{"key":"` + strings.Repeat(kib, 7<<10), again: kib, slow: true},
	{name: "items", begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"items":[{"key":"x"}`, again: `,{"key":"x"}`},
	{name: "nesting", begin: "HTTP/1.1 200 OK\r\n\r\n" + `{"items":`, again: `[`},
	{name: "chunks", begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", again: oneKChunk},
	{name: "trailer", begin: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", again: "Name: x\r\n"},
	{name: "error", begin: "HTTP/1.1 500 Failed\r\n\r\n", again: kib},
	{name: "watch that was compacted", begin: "HTTP/1.1 410 Gone\r\n\r\n", again: kib},
}

// listPages returns a store that answers only lists, each page with a value of 256 KiB under the next of the keys, so that
// another page follows for ever. All keys are the same without advance.
func listPages(advance bool) func(r *http.Request) endless {
	var page atomic.Int64
	value := base64.StdEncoding.EncodeToString([]byte(strings.Repeat(kib, 256)))
	return func(r *http.Request) endless {
		if r.URL.Path != "/api/kv-range" {
			return endless{begin: "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"}
		}
		n := int64(0)
		if advance {
			n = page.Add(1)
		}
		body := fmt.Sprintf(`{"current-rev":1,"more-pages":true,"items":[{"key":"usage/%012d","revision":1,"value":%q}]}`, n, value)
		return endless{begin: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body)}
	}
}

// TestStoreAnswersWithoutEnd guards against a store that sends bytes, or pages of a list, without end. The gateway serves
// what it knows meanwhile, and follows the store once it is sound again.
func TestStoreAnswersWithoutEnd(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	faults := map[string]func(*http.Request) endless{"pages of a list": listPages(true), "the same page of a list": listPages(false)}
	for _, e := range endlessStoreAnswers {
		faults[e.name] = func(*http.Request) endless { return e }
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, true)
			g := startGateway(t, filepath.Join(bin, "quetzallugd"), logDir(t), p.address)
			defer g.Kill()
			p.storeFault.Store(&fault)
			for end := time.Now().Add(storeFaultTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				require.NoError(t, g.ordinaryRequest())
			}
			p.storeFault.Store(nil)
			g.check(t)
		})
	}
}

func logDir(t *testing.T) string {
	if *logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logs, strings.ReplaceAll(t.Name(), "/", "-"))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// endlessRequest sends a request and reads what comes until its time limit.
func endlessRequest(address, path string, n int) {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}, Timeout: answerTimeout}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(endlessWait + time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nAuthorization: Bearer %s\r\nQuetzallug-Attempt-Id: c-%d\r\nQuetzallug-Deadline-Ms: %d\r\nContent-Length: 1\r\n\r\nb",
		path, hostname, apiKey, n, endlessWait.Milliseconds())
	_, _ = io.Copy(io.Discard, c)
}
