package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	queueHost   = "queue.example"
	queuePrefix = "/batch/"
)

// step and job are what a requester submits.
type step struct {
	Count       int  `json:"count"`
	CPU         int  `json:"cpu"`
	Mem         int  `json:"mem_mb"`
	Estimate    int  `json:"estimated_ms,omitempty"`
	LongRunning bool `json:"long_running,omitempty"`
	// Image is the name of what the tasks run, Target the tail latency that serving tasks must stay below, and Fills marks
	// fillers.
	Image  string  `json:"image,omitempty"`
	Target float64 `json:"target_ms,omitempty"`
	Fills  bool    `json:"fills,omitempty"`
}

type job struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeat   int    `json:"repeat_count,omitempty"`
	Start    int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`
}

// client is a requester. It tries the entry processes in turn.
type client struct {
	entries []*entry
	record  *recorder
	http    *http.Client
	next    int
}

func newClient(entries []*entry, r *recorder) *client {
	return &client{entries: entries, record: r, http: &http.Client{Timeout: 3 * time.Second}}
}

func newJobID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func specOf(work behaviour) string {
	data, _ := json.Marshal(work)
	return string(data)
}

// call sends one request to one entry process; its status is 0 if there was no answer.
func (c *client) call(method, path string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	e := c.entries[c.next%len(c.entries)]
	c.next++
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.frontend+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", "3000")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (c *client) submit(id string, j job) error {
	for range 40 {
		status, _ := c.call(http.MethodPost, queuePrefix+id, j)
		c.record.add("client: POST %s: %d", id, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job, or the status of the answer.
func (c *client) state(id string) string {
	status, body := c.call(http.MethodGet, queuePrefix+id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return answer.State
}

// awaitState asks for the state of a job until it is the wanted one, and records each change.
func (c *client) awaitState(id, want string, limit time.Duration) bool {
	last := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		state := c.state(id)
		if state != last {
			c.record.add("client: GET %s: %s", id, state)
			last = state
		}
		if state == want {
			return true
		}
	}
	return false
}
