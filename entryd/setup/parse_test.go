package setup_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovagefork.example/entryd/setup"
)

var valid = []string{
	"--entry-host", "e1", "--availability-zone", "a", "--peer-listen", "127.0.0.1:7201",
	"--roster", "e1=a=127.0.0.1:7201", "--roster", "e2=b=127.0.0.1:7202", "--zones", "a,b",
}

// Guards against environment variables that override flags: a daemon would then start with the address of another one.
func TestParsePrecedence(t *testing.T) {
	s, err := setup.Parse(append(valid, "--drain-notice", "30s"), []string{
		"LOVAGEFORK_DRAIN_NOTICE=20s", "LOVAGEFORK_OUTAGE_HORIZON=50s", "HOME=/",
	})
	assert.NilError(t, err)
	assert.Equal(t, s.DrainNotice, 30*time.Second)
	assert.Equal(t, s.OutageHorizon, 50*time.Second)
	assert.Equal(t, len(s.Roster), 2)
	assert.Equal(t, len(s.Partitions()), 4)
}

// Guards against a daemon that starts with invalid or inconsistent settings. The error states the flag, its value and the
// allowed values; this test checks the flag.
func TestParseRejectsInvalidValue(t *testing.T) {
	for _, tc := range []struct {
		flag, value string
	}{
		{"partitions-per-zone", "0"},
		{"drain-notice", "60"},
		{"listen", "localhost:7100"},
		{"store", "ftp://x"},
		{"log-level", "loud"},
		{"entry-host", "e9"},
		{"availability-zone", "b"},
		{"peer-listen", "127.0.0.1:9999"},
		{"key", "only-a-key.pem"},
		{"zones", "a,a"},
	} {
		args := append([]string{}, valid...)
		replaced := false
		for i, arg := range args {
			if arg == "--"+tc.flag {
				args[i+1] = tc.value
				replaced = true
			}
		}
		if !replaced {
			args = append(args, "--"+tc.flag, tc.value)
		}
		_, err := setup.Parse(args, nil)
		var settingErr *setup.Error
		assert.Assert(t, errors.As(err, &settingErr), "%s=%s: %v", tc.flag, tc.value, err)
		assert.Equal(t, settingErr.Flag, tc.flag)
	}
}

// Guards against misspelt environment variables that are ignored: the default would silently apply.
func TestParseRejectsUnknownVariable(t *testing.T) {
	_, err := setup.Parse(valid, []string{"LOVAGEFORK_DRAIN_NOTISE=20s"})
	var envErr *setup.EnvError
	assert.Assert(t, errors.As(err, &envErr))
	assert.Equal(t, envErr.Name, "LOVAGEFORK_DRAIN_NOTISE")
}
