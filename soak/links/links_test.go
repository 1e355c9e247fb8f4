package links_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/soak/links"
)

// call sends a request on the client's connection and returns how it ended.
func call(t *testing.T, client *http.Client, address string, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, http.NoBody)
	assert.NilError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return errors.Join(err, resp.Body.Close())
}

// Guards against modes without an effect, by which soaks would pass.
func TestModes(t *testing.T) {
	t.Parallel()
	handled := make(chan struct{}, 100)
	listener, err := links.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled <- struct{}{} })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	address := listener.Addr().String()
	const timeout = 300 * time.Millisecond
	client := &http.Client{Transport: &http.Transport{}}
	assert.NilError(t, call(t, client, address, 10*timeout))
	<-handled
	for range 2 {
		assert.NilError(t, listener.SetMode(links.Refused{}))
		assert.ErrorIs(t, call(t, client, address, timeout), syscall.ECONNREFUSED)
		assert.NilError(t, listener.SetMode(links.Reset{}))
		assert.Assert(t, call(t, client, address, timeout) != nil)
		assert.NilError(t, listener.SetMode(links.Silent{}))
		assert.ErrorIs(t, call(t, client, address, timeout), context.DeadlineExceeded)
		assert.Equal(t, len(handled), 0)
		assert.NilError(t, listener.SetMode(links.Open{}))
		// What reached the server while it was cut off is carried out.
		<-handled
		assert.NilError(t, listener.SetMode(links.OneWay{}))
		assert.ErrorIs(t, call(t, client, address, timeout), context.DeadlineExceeded)
		<-handled
		assert.NilError(t, listener.SetMode(links.Delayed{Delay: timeout}))
		began := time.Now()
		assert.NilError(t, call(t, client, address, 20*timeout))
		<-handled
		assert.Assert(t, time.Since(began) >= timeout)
	}
}

// Guards against a weaker fault that hides a stronger one on the same link.
func TestStrongest(t *testing.T) {
	t.Parallel()
	assert.Equal(t, links.Strongest(), links.Mode(links.Open{}))
	ordered := []links.Mode{
		links.Open{}, links.Delayed{Delay: 1}, links.Delayed{Delay: 2}, links.OneWay{}, links.Silent{}, links.Reset{}, links.Refused{},
	}
	for i, weak := range ordered {
		for _, strong := range ordered[i:] {
			assert.Equal(t, links.Strongest(weak, strong), strong)
			assert.Equal(t, links.Strongest(strong, weak), strong)
		}
	}
}
