package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lovagefork.example/coord/flow"
	"lovagefork.example/coord/form"
	"lovagefork.example/lovctl/cmds"
)

// An on-call engineer must be told who the scheduler is and why a task waits, and which id is not known.
func TestSchedulerCommands(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/scheduler":
			reply(w, http.StatusOK, json.RawMessage(`{"entry_host":"e2","token":41,"overview":{"token":41,"term":3,"workers":66,"jobs":{"running":7}}}`))
		case "/v1/scheduler/workers":
			reply(w, http.StatusOK, []flow.WorkerView{{Worker: "w1", UnusableReason: "drains"}})
		case "/v1/scheduler/jobs/5c0e7a21d94b36f8":
			reply(w, http.StatusOK, flow.JobView{Job: "5c0e7a21d94b36f8", Queue: "desk", Steps: []flow.StepView{{
				Waiting: 2, WorkersByReason: map[string]int{"no room for its size": 60},
			}}})
		default:
			reply(w, http.StatusNotFound, form.ErrorResponse{Error: "the scheduler knows no such job"})
		}
	}))
	defer s.Close()
	for _, tc := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"scheduler", "status"}, cmds.ExitDone, "scheduler on e2, token 41, term 3"},
		{[]string{"scheduler", "workers"}, cmds.ExitDone, "drains"},
		{[]string{"scheduler", "job", "5c0e7a21d94b36f8"}, cmds.ExitDone, "60 workers: no room for its size"},
		{[]string{"scheduler", "job", "other"}, cmds.ExitNotFound, "the scheduler knows no such job"},
	} {
		var out, errs bytes.Buffer
		args := append(tc.args, "--entry", s.URL)
		code := cmds.Run(context.Background(), "test", args, cmds.Streams{In: strings.NewReader(""), Out: &out, Err: &errs})
		assert.Equal(t, code, tc.code, "%v: %s", tc.args, errs.String())
		assert.Assert(t, strings.Contains(out.String()+errs.String(), tc.want), "%v: %s", tc.args, out.String()+errs.String())
	}
}
