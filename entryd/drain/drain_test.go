package drain_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/drain"
)

// caller sends requests on one connection, with pauses, until the server announces its end or ends it otherwise.
func caller(address string, pauses *rand.Rand) (requests int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	for {
		time.Sleep(time.Duration(pauses.IntN(4000)) * time.Microsecond)
		if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\n\r\nhi"); err != nil {
			return requests, err
		}
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			return requests, err
		}
		if err := resp.Body.Close(); err != nil {
			return requests, err
		}
		requests++
		if resp.Close {
			return requests, nil
		}
	}
}

// Guards against requests that are broken at a graceful shutdown because the server closes an idle connection while a
// request is on its way.
func TestShutdownBreaksNoRequest(t *testing.T) {
	const callers = 60
	var conns drain.Connections
	server := httptest.NewUnstartedServer(conns.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})))
	server.Start()
	defer server.Close()
	var served atomic.Int64
	errs := make([]error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			var n int
			n, errs[i] = caller(server.Listener.Addr().String(), rand.New(rand.NewPCG(1, uint64(i))))
			served.Add(int64(n))
		})
	}
	time.Sleep(200 * time.Millisecond)
	conns.CloseAfterResponse()
	wg.Wait()
	assert.NilError(t, server.Config.Shutdown(context.Background()))
	for i, err := range errs {
		assert.NilError(t, err, "caller %d", i)
	}
	assert.Assert(t, served.Load() > callers)
}
